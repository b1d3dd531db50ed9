package schedule

import (
	"cmp"
	"time"

	"rosemarywalk/core/work"
)

// state is how far a task has come.
type state uint8

const (
	waiting state = iota
	placed
	done
)

// task is one task of a job.
type task struct {
	step     int
	index    int
	state    state
	run      int // number of its next or current run
	failures int
	host     string        // whose pool runs it
	avoid    string        // backend server that failed it
	expect   time.Duration // as its last run showed; 0 is as predicted for its step
	after    time.Time     // no new try before
}

// job is one job with its tasks.
type job struct {
	work.Job
	tasks   []*task
	waiting int             // tasks that wait
	backlog int             // thousandths of a core that they wait for
	left    []int           // tasks of each step that aren't done
	expect  []time.Duration // predicted run time of a task of each step
	callers []string
	taken   time.Time // when this host took it
	latest  time.Time // start by which the objective is met
	useful  time.Time // end from which its outcome is worth nothing
	late    bool      // it will miss its objective, and waits behind those that won't
	began   bool      // a task was ordered
	remote  bool      // another host took it from its caller

	undecided bool // it is admitted only if room for all of its tasks turns up
}

func newJob(now time.Time, w work.Job, expect []time.Duration, useful float64) *job {
	j := &job{
		taken:  now,
		Job:    w,
		expect: expect,
	}
	for step, s := range w.Steps {
		j.left = append(j.left, s.Count)
		for index := range s.Count {
			j.tasks = append(j.tasks, &task{
				step:  step,
				index: index,
				run:   1,
			})
		}
		j.waiting += s.Count
		j.backlog += s.Count * s.Size.CPU
	}
	chain := j.chain()
	objective := w.Objective(chain)
	j.latest = objective.Add(-chain)
	j.useful = w.Arrived.Add(time.Duration(useful * float64(objective.Sub(w.Arrived))))
	if w.Deadline.Before(j.useful) {
		j.useful = w.Deadline
	}
	return j
}

// chain returns the predicted time of the longest chain of steps.
func (j *job) chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, before := range s.DependsOn {
			if before < i {
				start = max(start, ends[before])
			}
		}
		ends[i] = start + j.expect[i]
		longest = max(longest, ends[i])
	}
	return longest
}

// due reports whether a task may start: it waits, its time has come, and the
// steps before its own are done.
func (j *job) due(now time.Time, t *task) bool {
	if t.state != waiting || now.Before(t.after) {
		return false
	}
	for _, before := range j.Steps[t.step].DependsOn {
		if j.left[before] > 0 {
			return false
		}
	}
	return true
}

// set changes a task's state.
func (j *job) set(t *task, to state) {
	cpu := j.Steps[t.step].Size.CPU
	if t.state == waiting {
		j.waiting--
		j.backlog -= cpu
	}
	if to == waiting {
		j.waiting++
		j.backlog += cpu
	}
	t.state = to
}

// waits reports whether a task of the job waits.
func (j *job) waits() bool { return j.waiting > 0 }

// largest returns the most that any task of the job needs.
func (j *job) largest() work.Size {
	var size work.Size
	for _, s := range j.Steps {
		size = size.Max(s.Size)
	}
	return size
}

// running reports whether a task of the job is placed.
func (j *job) running() bool {
	for _, t := range j.tasks {
		if t.state == placed {
			return true
		}
	}
	return false
}

// complete reports whether all tasks are done.
func (j *job) complete() bool {
	for _, left := range j.left {
		if left > 0 {
			return false
		}
	}
	return true
}

// find returns a task by its place.
func (j *job) find(step, index int) *task {
	for _, t := range j.tasks {
		if t.step == step && t.index == index {
			return t
		}
	}
	return nil
}

// order returns the task as it is ordered from a pool.
func (j *job) order(t *task) work.Task {
	s := j.Steps[t.step]
	return work.Task{
		Job:       j.ID,
		Step:      t.step,
		Index:     t.index,
		Run:       t.run,
		Size:      s.Size,
		Spec:      j.Spec,
		Requires:  s.Requires,
		Affinity:  s.Affinity,
		PerServer: s.PerServer,
		Expect:    cmp.Or(t.expect, j.expect[t.step]),
		Deadline:  j.Deadline,
		Avoid:     t.avoid,
	}
}
