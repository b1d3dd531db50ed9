package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// class is one kind of job in a replayed load.
type class struct {
	name  string
	rate  float64 // jobs a second
	tasks int     // mean
	cpu   int     // thousandths of a core a task, mean
	run   time.Duration
}

// valuations is the guild's load at one of four homes.
func valuations() []class {
	return []class{
		{
			name:  "comparables",
			rate:  51.5,
			tasks: 8,
			cpu:   8000,
			run:   60 * time.Millisecond,
		},
		{
			name:  "conditions",
			rate:  9.4,
			tasks: 4,
			cpu:   8000,
			run:   900 * time.Millisecond,
		},
		{
			name:  "provenance",
			rate:  150,
			tasks: 2,
			cpu:   8000,
			run:   200 * time.Millisecond,
		},
	}
}

// phase is a part of a replayed load.
type phase struct {
	length  time.Duration
	times   float64 // of the usual load
	servers int
}

// verdict is how the jobs of a class fared.
type verdict struct{ asked, inAim, late, refused, other int }

// credit is what the answers are worth, of all that was asked.
func (v verdict) credit() float64 {
	const lateWorth = 0.2
	return (float64(v.inAim) + lateWorth*float64(v.late)) / float64(max(1, v.asked))
}

// event is something that happens at a time of a replay.
type event struct {
	at time.Duration
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// runningTask is a task that runs on a server of a replay.
type runningTask struct {
	task   work.Task
	server int
	began  time.Time
}

// submitted is a job of a replay.
type submitted struct {
	class     string
	run       time.Duration // of its tasks
	objective time.Duration
	sent      time.Time
}

// replay drives a Model with a load and servers that behave.
type replay struct {
	model    *Model
	rng      *rand.Rand
	queue    events
	free     []int // thousandths of a core a server
	size     []int
	usable   int // servers that take work
	running  map[string]runningTask
	jobs     map[string]submitted
	verdicts map[string]*verdict
}

func newReplay(seed uint64, l Limits, servers int) *replay {
	r := &replay{
		model:    New(self, l),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		usable:   servers,
		running:  map[string]runningTask{},
		jobs:     map[string]submitted{},
		verdicts: map[string]*verdict{},
	}
	for i := range servers {
		size := 16000
		if i%3 == 2 {
			size = 24000
		}
		r.size, r.free = append(r.size, size), append(r.free, size)
	}
	return r
}

func (r *replay) at(at time.Duration, do func(now time.Time)) {
	heap.Push(&r.queue, event{
		at: at,
		do: do,
	})
}

// around draws a lognormal number with a mean and a spread.
func around(rng *rand.Rand, mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

func (r *replay) room(now time.Time) pool.Capacity {
	var room pool.Capacity
	for i := range r.usable {
		room.Total += r.size[i]
		room.Largest = room.Largest.Max(work.Size{
			CPU:    r.size[i],
			Memory: 1000,
		})
		if r.free[i] > 0 {
			room.Slots = append(room.Slots, pool.Slot{Free: work.Size{
				CPU:    r.free[i],
				Memory: 1000,
			}})
		}
	}
	for _, t := range r.running {
		if t.server < r.usable && t.task.Expect > 0 && now.Sub(t.began) < 3*t.task.Expect {
			room.Flow += int(float64(t.task.Size.CPU) / t.task.Expect.Seconds())
		}
	}
	return room
}

// update passes a message on, carries out what is decided, and tells the room.
func (r *replay) update(now time.Time, msg Msg) {
	pending := []Msg{msg}
	for len(pending) > 0 {
		cmds := r.model.Update(now, pending[0])
		pending = pending[1:]
		changed := false
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case RunCmd:
				changed = true
				if !r.start(now, cmd.Task) {
					pending = append(pending, EndMsg{
						Host: self,
						Task: cmd.Task,
						End:  work.EndNever,
					})
				}
			case HaltCmd:
				changed = true
				r.halt(cmd.Name)
			case AnswerCmd:
				r.answer(now, cmd)
			case NoteCmd:
			}
		}
		if changed {
			pending = append(pending, RoomMsg{
				Host: self,
				Room: r.room(now),
			})
		}
	}
}

func (r *replay) start(now time.Time, t work.Task) bool {
	best := -1
	for i := range r.usable {
		if r.free[i] >= t.Size.CPU && (best < 0 || r.free[i] < r.free[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.free[best] -= t.Size.CPU
	r.running[t.Name()] = runningTask{
		task:   t,
		server: best,
		began:  now,
	}
	const uneven = 0.15
	run := time.Duration(around(r.rng, float64(r.jobs[t.Job].run), uneven))
	r.at(now.Sub(epoch)+run, func(now time.Time) {
		if _, ok := r.running[t.Name()]; !ok {
			return
		}
		r.free[best] += t.Size.CPU
		delete(r.running, t.Name())
		r.update(now, EndMsg{
			Host: self,
			Task: t,
			End:  work.EndDone,
			Took: run,
		})
		r.update(now, RoomMsg{
			Host: self,
			Room: r.room(now),
		})
	})
	return true
}

func (r *replay) halt(name string) {
	t, ok := r.running[name]
	if !ok {
		return
	}
	delete(r.running, name)
	r.free[t.server] += t.task.Size.CPU
}

func (r *replay) answer(now time.Time, cmd AnswerCmd) {
	job := r.jobs[cmd.ID]
	v := r.verdicts[job.class]
	took := now.Sub(job.sent)
	switch {
	case cmd.Outcome.State == work.Refused:
		v.refused++
	case cmd.Outcome.State == work.Completed && took <= job.objective:
		v.inAim++
	case cmd.Outcome.State == work.Completed && took <= 3*job.objective:
		v.late++
	default:
		v.other++
	}
}

func (r *replay) submit(now time.Time, c class, n int) {
	id := fmt.Sprintf("%s-%d", c.name, n)
	const (
		spread   = 0.4
		estimate = 0.4
		sizes    = 0.2
	)
	run := time.Duration(around(r.rng, float64(c.run), spread))
	slack := 60 * time.Millisecond
	r.jobs[id] = submitted{
		class:     c.name,
		run:       run,
		objective: time.Duration(1.6*float64(run)) + slack,
		sent:      now,
	}
	r.verdicts[c.name].asked++
	r.update(now, SubmitMsg{
		Caller: id,
		Job: work.Job{
			ID:    id,
			Route: c.name,
			Steps: []work.Step{{
				Count:    max(1, int(around(r.rng, float64(c.tasks), spread)+0.5)),
				Size:     work.Size{CPU: int(min(1.5*float64(c.cpu), around(r.rng, float64(c.cpu), sizes)))},
				Estimate: time.Duration(around(r.rng, float64(run), estimate)),
			}},
			Attempts: 2,
			Stretch:  1.6,
			Slack:    slack,
			Arrived:  now,
			Deadline: now.Add(max(1500*time.Millisecond, 5*time.Duration(run))),
		},
	})
}

// play runs the phases and returns how the jobs of each class fared.
func (r *replay) play(classes []class, phases []phase) map[string]*verdict {
	const tick = 10 * time.Millisecond
	var begin time.Duration
	for _, p := range phases {
		r.at(begin, func(now time.Time) {
			r.usable = p.servers
			r.update(now, RoomMsg{
				Host: self,
				Room: r.room(now),
			})
		})
		for _, c := range classes {
			r.verdicts[c.name] = &verdict{}
			for at := begin; ; {
				at += time.Duration(r.rng.ExpFloat64() / (c.rate * p.times) * float64(time.Second))
				if at >= begin+p.length {
					break
				}
				n := len(r.queue)
				r.at(at, func(now time.Time) { r.submit(now, c, n) })
			}
		}
		begin += p.length
	}
	for at := time.Duration(0); at < begin+3*time.Second; at += tick {
		r.at(at, func(now time.Time) { r.update(now, TickMsg{}) })
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		e.do(epoch.Add(e.at))
	}
	return r.verdicts
}

// deployed is the limits that hosts use unless told otherwise.
var deployed = Limits{
	Admit:    1.5,
	Hopeless: 8,
	Overdue:  1,
	Useful:   3,
	Hope:     0.7,
	Spare:    0.1,
	Patience: 10 * time.Millisecond,
	Bounce:   5 * time.Millisecond,
	Remember: 5 * time.Second,
	Jobs:     5000,
}

// creditTarget is the mean worth that the users ask for on days of trouble.
const creditTarget = 0.59

// TestOverload: while more comes than the servers can do, those jobs that are
// taken are answered in time.
func TestOverload(t *testing.T) {
	tests := []struct {
		name  string
		times float64
	}{
		{
			name:  "half more than usual",
			times: 1.5,
		},
		{
			name:  "twice the usual",
			times: 2,
		},
		{
			name:  "two and a half times the usual",
			times: 2.5,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			classes := valuations()
			const servers = 88
			verdicts := newReplay(1, deployed, servers).play(classes, []phase{
				{
					length:  time.Second,
					times:   0.8,
					servers: servers,
				},
				{
					length:  4 * time.Second,
					times:   test.times,
					servers: servers,
				},
			})
			sum := 0.0
			for name, v := range verdicts {
				t.Logf("%s: credit %.3f, %+v", name, v.credit(), *v)
				sum += v.credit()
			}
			credit := sum / float64(len(classes))
			t.Logf("credit %.3f", credit)
			assert.Assert(t, credit >= creditTarget)
		})
	}
}
