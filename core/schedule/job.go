package schedule

import (
	"cmp"
	"time"

	"rosemarywalk/core/work"
)

// state is the scheduling state of a task.
type state uint8

const (
	waiting state = iota
	placed
	done
)

// task is one task of a job.
type task struct {
	step        int
	index       int
	state       state
	run         int // sequence number of the current or next run
	failures    int
	host        string        // host whose pool runs it
	avoidServer string        // backend server of its last run that failed or was stopped
	predicted   time.Duration // predicted run time reported by its last run; 0 to use that of its step
	notBefore   time.Time     // earliest time of the next attempt
	declined    bool          // it was kept from starting as room is kept for another job
}

// job is a job with the state of its tasks.
type job struct {
	work.Job
	submission  int // number of this submission among all at this host
	tasks       []*task
	waiting     int             // number of waiting tasks
	backlog     int             // millicores of the waiting tasks
	unfinished  []int           // number of tasks not done, by step
	predicted   []time.Duration // predicted run time of a task, by step
	callers     []string
	acceptedAt  time.Time       // when this host received it
	after       []time.Duration // predicted duration of what waits for a step, by step
	objective   time.Time       // when it should have ended
	latestStart time.Time       // start by which the latency objective is met
	usefulUntil time.Time       // time after which its outcome is of no use
	demoted     bool            // queued behind the jobs that can still start in time
	started     bool            // a task was sent to a pool
	remote      bool            // received from the caller by another host
	waitedAt    time.Time       // when a caller was last known to wait
	confirmedAt time.Time       // the same, or earlier: when all other homes were last known not to start it

	unconfirmed bool // its runs had to end for a time, in which another home may have started it

	answers map[string]answer // of other homes, by home

	heldUntil    time.Time // until when the announcement of a third home may count that another one reported
	wasElsewhere bool      // another home announced it, and didn't know it any more

	provisional bool // admitted only if capacity for all of its tasks becomes free
}

func newJob(now time.Time, w work.Job, predicted []time.Duration, usefulFactor float64) *job {
	j := &job{
		acceptedAt: now,
		Job:        w,
		predicted:  predicted,
	}
	for step, s := range w.Steps {
		j.unfinished = append(j.unfinished, s.Count)
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
	criticalPath := j.criticalPath()
	objective := w.Objective(criticalPath)
	j.after, j.objective = durationsAfter(w, predicted), objective
	j.latestStart = objective.Add(-criticalPath)
	j.usefulUntil = w.Arrived.Add(time.Duration(usefulFactor * float64(objective.Sub(w.Arrived))))
	if w.Deadline.Before(j.usefulUntil) || !j.usefulUntil.After(w.Arrived.Add(criticalPath)) {
		// An objective that can't be met at all, or that a route doesn't have, says nothing
		// about the use of a late answer.
		j.usefulUntil = w.Deadline
	}
	return j
}

// criticalPath returns the predicted duration of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration { return j.CriticalPath(j.predicted) }

// runnable reports whether a task may start: it is waiting, its retry delay has passed,
// and the steps that it depends on are complete.
func (j *job) runnable(now time.Time, t *task) bool {
	if t.state != waiting || now.Before(t.notBefore) {
		return false
	}
	for _, dependency := range j.Steps[t.step].DependsOn {
		if j.unfinished[dependency] > 0 {
			return false
		}
	}
	return true
}

// set changes a task's state and updates the job's counters.
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

// hasWaiting reports whether any task of the job is waiting.
func (j *job) hasWaiting() bool { return j.waiting > 0 }

// largest returns the component-wise maximum of the sizes of the job's tasks.
func (j *job) largest() work.Size {
	var size work.Size
	for _, s := range j.Steps {
		size = size.Max(s.Size)
	}
	return size
}

// running reports whether any task of the job is placed.
func (j *job) running() bool {
	for _, t := range j.tasks {
		if t.state == placed {
			return true
		}
	}
	return false
}

// complete reports whether all tasks of the job are done.
func (j *job) complete() bool {
	for _, unfinished := range j.unfinished {
		if unfinished > 0 {
			return false
		}
	}
	return true
}

// find returns the task with the given step and index, or nil.
func (j *job) find(step, index int) *task {
	for _, t := range j.tasks {
		if t.step == step && t.index == index {
			return t
		}
	}
	return nil
}

// timeOf returns the predicted run time of a task.
func (j *job) timeOf(t *task) time.Duration { return cmp.Or(t.predicted, j.predicted[t.step]) }

// durationsAfter returns, by step, the predicted duration of the longest chain of steps that
// wait for it.
func durationsAfter(w work.Job, predicted []time.Duration) []time.Duration {
	after := make([]time.Duration, len(w.Steps))
	for i := len(w.Steps) - 1; i >= 0; i-- {
		for _, dependency := range w.Steps[i].DependsOn {
			if dependency < i {
				after[dependency] = max(after[dependency], predicted[i]+after[i])
			}
		}
	}
	return after
}

// order returns the task as it is sent to a pool.
func (j *job) order(t *task) work.Task {
	s := j.Steps[t.step]
	return work.Task{
		Job:           j.ID,
		Step:          t.step,
		Index:         t.index,
		Run:           t.run,
		Submission:    j.submission,
		Size:          s.Size,
		Spec:          j.Spec,
		Requires:      s.Requires,
		Affinity:      s.Affinity,
		MaxPerServer:  s.MaxPerServer,
		PredictedTime: j.timeOf(t),
		Deadline:      j.Deadline,
		ConfirmedAt:   j.confirmedAt,
		AvoidServer:   t.avoidServer,
	}
}
