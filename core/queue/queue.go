package queue

import (
	"container/heap"
	"time"

	"rosemarywalk/core/ticket"
)

// Job is a group of tasks that wait together.
type Job struct {
	ID      ticket.ID
	Team    string
	Tasks   int
	Arrived time.Time // arrival
}

// Ref names one task of one job.
type Ref struct {
	ID    ticket.ID
	Index int
}

// entry is a job in a team's heap.
type entry struct {
	job      Job
	rank     time.Time
	next     int   // the first index not handed out yet
	returned []int // indexes handed out and given back
	position int   // in the heap; gone when not in it
}

const gone = -1

func (e *entry) waiting() int { return e.job.Tasks - e.next + len(e.returned) }

func (e *entry) take() int {
	if n := len(e.returned); n > 0 {
		index := e.returned[n-1]
		e.returned = e.returned[:n-1]
		return index
	}
	e.next++
	return e.next - 1
}

// ranking is a heap of jobs, the lowest rank first.
type ranking []*entry

func (r ranking) Len() int { return len(r) }

func (r ranking) Less(i, j int) bool {
	if r[i].rank.Equal(r[j].rank) {
		return r[i].job.ID.Sequence < r[j].job.ID.Sequence
	}
	return r[i].rank.Before(r[j].rank)
}

func (r ranking) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].position = i
	r[j].position = j
}

func (r *ranking) Push(x any) {
	e := x.(*entry)
	e.position = len(*r)
	*r = append(*r, e)
}

func (r *ranking) Pop() any {
	old := *r
	e := old[len(old)-1]
	e.position = gone
	*r = old[:len(old)-1]
	return e
}

// team is one team's waiting jobs and its place in the weighted order.
type team struct {
	name   string
	weight float64
	pass   float64 // virtual time; the lowest goes next
	jobs   ranking
}

// Queue holds waiting tasks in the order in which they should start.
type Queue struct {
	perTask time.Duration
	weights map[string]float64
	teams   []*team
	byName  map[string]*team
	jobs    map[ticket.ID]*entry
	waiting int
	pass    float64
}

// New returns an empty queue that ranks a job perTask later for each task.
func New(perTask time.Duration) *Queue {
	return &Queue{
		perTask: perTask,
		weights: map[string]float64{},
		byName:  map[string]*team{},
		jobs:    map[ticket.ID]*entry{},
	}
}

// Weigh sets the teams' weights; a team that isn't named has weight 1.
func (q *Queue) Weigh(weights map[string]float64) {
	q.weights = weights
	for _, t := range q.teams {
		t.weight = q.weight(t.name)
	}
}

func (q *Queue) weight(name string) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return 1
}

// Len returns how many tasks wait.
func (q *Queue) Len() int { return q.waiting }

// Push adds a job's tasks.
func (q *Queue) Push(j Job) {
	e := &entry{
		job:  j,
		rank: j.Arrived.Add(time.Duration(j.Tasks) * q.perTask),
	}
	q.jobs[j.ID] = e
	q.waiting += j.Tasks
	q.insert(e)
}

func (q *Queue) insert(e *entry) {
	t := q.team(e.job.Team)
	if len(t.jobs) == 0 {
		// A team that was idle saves up no credit.
		t.pass = max(t.pass, q.pass)
	}
	heap.Push(&t.jobs, e)
}

func (q *Queue) team(name string) *team {
	t := q.byName[name]
	if t == nil {
		t = &team{
			name:   name,
			weight: q.weight(name),
		}
		q.byName[name] = t
		q.teams = append(q.teams, t)
	}
	return t
}

// Peek returns the job whose task Next would hand out.
func (q *Queue) Peek() (ticket.ID, bool) {
	t := q.turn()
	if t == nil {
		return ticket.ID{}, false
	}
	return t.jobs[0].job.ID, true
}

// Next hands out the task that should start next.
func (q *Queue) Next() (Ref, bool) {
	t := q.turn()
	if t == nil {
		return Ref{}, false
	}
	q.pass = t.pass
	t.pass += 1 / t.weight
	e := t.jobs[0]
	ref := Ref{
		ID:    e.job.ID,
		Index: e.take(),
	}
	q.waiting--
	if e.waiting() == 0 {
		heap.Pop(&t.jobs)
	}
	return ref, true
}

func (q *Queue) turn() *team {
	var next *team
	for _, t := range q.teams {
		if len(t.jobs) > 0 && (next == nil || t.pass < next.pass) {
			next = t
		}
	}
	return next
}

// Requeue puts back a task that Next handed out.
func (q *Queue) Requeue(ref Ref) {
	e := q.jobs[ref.ID]
	if e == nil {
		return
	}
	e.returned = append(e.returned, ref.Index)
	q.waiting++
	if e.position == gone {
		q.insert(e)
	}
}

// Remove takes a job out and returns how many of its tasks were waiting.
func (q *Queue) Remove(id ticket.ID) int {
	e := q.jobs[id]
	if e == nil {
		return 0
	}
	delete(q.jobs, id)
	removed := e.waiting()
	q.waiting -= removed
	if e.position != gone {
		heap.Remove(&q.team(e.job.Team).jobs, e.position)
	}
	return removed
}

// Ahead returns how many waiting tasks of the same team a new job ranks behind.
func (q *Queue) Ahead(j Job) int {
	t := q.byName[j.Team]
	if t == nil {
		return 0
	}
	rank := j.Arrived.Add(time.Duration(j.Tasks) * q.perTask)
	ahead := 0
	for _, e := range t.jobs {
		if e.rank.Before(rank) {
			ahead += e.waiting()
		}
	}
	return ahead
}
