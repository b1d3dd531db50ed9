package queue

import (
	"container/heap"
	"time"

	"rosemarywalk/core/ticket"
)

// Job is a group of tasks that are queued together.
type Job struct {
	ID      ticket.ID
	Team    string
	Tasks   int
	Arrived time.Time
}

// Ref identifies one task of a job.
type Ref struct {
	ID    ticket.ID
	Index int
}

// entry is a job in a team's heap.
type entry struct {
	job       Job
	rank      time.Time
	next      int   // lowest index not handed out yet
	returned  []int // indexes that were handed out and returned
	heapIndex int   // index in its team's heap, or notInHeap
}

const notInHeap = -1

func (e *entry) waiting() int { return e.job.Tasks - e.next + len(e.returned) }

func (e *entry) takeTask() int {
	if n := len(e.returned); n > 0 {
		index := e.returned[n-1]
		e.returned = e.returned[:n-1]
		return index
	}
	e.next++
	return e.next - 1
}

// jobHeap is a min-heap of jobs by rank; ties are broken by sequence number.
type jobHeap []*entry

func (r jobHeap) Len() int { return len(r) }

func (r jobHeap) Less(i, j int) bool {
	if r[i].rank.Equal(r[j].rank) {
		return r[i].job.ID.Sequence < r[j].job.ID.Sequence
	}
	return r[i].rank.Before(r[j].rank)
}

func (r jobHeap) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].heapIndex = i
	r[j].heapIndex = j
}

func (r *jobHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*r)
	*r = append(*r, e)
}

func (r *jobHeap) Pop() any {
	old := *r
	e := old[len(old)-1]
	e.heapIndex = notInHeap
	*r = old[:len(old)-1]
	return e
}

// team is one team's waiting jobs and its state in stride scheduling.
type team struct {
	name   string
	weight float64
	pass   float64 // virtual time; the team with the lowest is served next
	jobs   jobHeap
}

// Queue is a weighted fair queue of tasks.
type Queue struct {
	penaltyPerTask time.Duration
	weights        map[string]float64
	teams          []*team
	byName         map[string]*team
	jobs           map[ticket.ID]*entry
	waiting        int
	pass           float64 // virtual time of the team served last
}

// New returns an empty queue. A job's rank is its arrival time plus
// penaltyPerTask for each of its tasks.
func New(penaltyPerTask time.Duration) *Queue {
	return &Queue{
		penaltyPerTask: penaltyPerTask,
		weights:        map[string]float64{},
		byName:         map[string]*team{},
		jobs:           map[ticket.ID]*entry{},
	}
}

// SetWeights sets the teams' weights; a team that isn't listed has weight 1.
func (q *Queue) SetWeights(weights map[string]float64) {
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

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// Push enqueues all tasks of a job.
func (q *Queue) Push(j Job) {
	e := &entry{
		job:  j,
		rank: j.Arrived.Add(time.Duration(j.Tasks) * q.penaltyPerTask),
	}
	q.jobs[j.ID] = e
	q.waiting += j.Tasks
	q.insert(e)
}

func (q *Queue) insert(e *entry) {
	t := q.team(e.job.Team)
	if len(t.jobs) == 0 {
		// An idle team accumulates no credit: otherwise it would block the other
		// teams when it becomes active again.
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

// Peek returns the job whose task Next would return.
func (q *Queue) Peek() (ticket.ID, bool) {
	t := q.nextTeam()
	if t == nil {
		return ticket.ID{}, false
	}
	return t.jobs[0].job.ID, true
}

// Next removes and returns the task to start next.
func (q *Queue) Next() (Ref, bool) {
	t := q.nextTeam()
	if t == nil {
		return Ref{}, false
	}
	q.pass = t.pass
	t.pass += 1 / t.weight
	e := t.jobs[0]
	ref := Ref{
		ID:    e.job.ID,
		Index: e.takeTask(),
	}
	q.waiting--
	if e.waiting() == 0 {
		heap.Pop(&t.jobs)
	}
	return ref, true
}

func (q *Queue) nextTeam() *team {
	var next *team
	for _, t := range q.teams {
		if len(t.jobs) > 0 && (next == nil || t.pass < next.pass) {
			next = t
		}
	}
	return next
}

// Requeue puts back a task that Next returned. It does nothing if the job was removed.
func (q *Queue) Requeue(ref Ref) {
	e := q.jobs[ref.ID]
	if e == nil {
		return
	}
	e.returned = append(e.returned, ref.Index)
	q.waiting++
	if e.heapIndex == notInHeap {
		q.insert(e)
	}
}

// Remove deletes a job and returns how many of its tasks were waiting.
func (q *Queue) Remove(id ticket.ID) int {
	e := q.jobs[id]
	if e == nil {
		return 0
	}
	delete(q.jobs, id)
	removed := e.waiting()
	q.waiting -= removed
	if e.heapIndex != notInHeap {
		heap.Remove(&q.team(e.job.Team).jobs, e.heapIndex)
	}
	return removed
}

// TasksAhead returns the number of waiting tasks of the same team that rank before j.
func (q *Queue) TasksAhead(j Job) int {
	t := q.byName[j.Team]
	if t == nil {
		return 0
	}
	rank := j.Arrived.Add(time.Duration(j.Tasks) * q.penaltyPerTask)
	ahead := 0
	for _, e := range t.jobs {
		if e.rank.Before(rank) {
			ahead += e.waiting()
		}
	}
	return ahead
}
