package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// hopeless returns why a job can't be served at all, or "".
func (m *Model) hopeless(now time.Time, j *job) core.Reason {
	if len(m.jobs) >= m.limits.Jobs {
		return core.ReasonOverload
	}
	if !now.Before(j.Deadline) {
		return core.ReasonDeadline
	}
	var largest work.Size
	for _, r := range m.rooms {
		largest = largest.Max(r.largest)
	}
	for _, s := range j.Steps {
		if largest.CPU > 0 && !s.Size.Fits(largest) {
			return core.ReasonFit
		}
	}
	return ""
}

// wait estimates how long it takes until the last task of a job starts.
func (m *Model) wait(now time.Time, j *job) time.Duration {
	ahead := 0
	for _, other := range m.queue {
		if other == j || compare(other, j) < 0 {
			ahead += other.backlog
		}
	}
	return m.waitBehind(now, j, ahead)
}

// waitBehind estimates how long it takes until a number of thousandths of a core
// have been taken, at the rate at which runs end, less what goes to jobs that will
// pass this one.
func (m *Model) waitBehind(now time.Time, j *job, ahead int) time.Duration {
	flow, free := m.rate(j.largest())
	ahead -= free
	if ahead <= 0 {
		return 0
	}
	if flow == 0 {
		return idleWait
	}
	flow = max(flow/leastFlow, flow-m.outranking(now, j))
	return time.Duration(float64(ahead) / float64(flow) * float64(time.Second))
}

const (
	// idleWait is the expected wait when nothing is known to end.
	idleWait = time.Second
	// leastFlow is the part of the flow, as one of so many, that jobs which pass leave.
	leastFlow = 10
)

// rate returns the flow and the free room that a waiting job can count on, where
// its largest task has a size: its own pool's, and that of hosts that have room to
// lend. A home without servers of its own counts on all.
func (m *Model) rate(size work.Size) (flow, free int) {
	own := m.rooms[m.self]
	alone := own == nil || own.total == 0
	for _, r := range m.rooms {
		usable := r.usable(size)
		free += usable
		if r == own || alone || usable > 0 {
			flow += r.flow
		}
	}
	return flow, free
}

// slack returns the time from a job's arrival to its latest start.
func (j *job) slack() time.Duration { return j.latest.Sub(j.Arrived) }

// admit decides about a new job. One that can start in time is admitted. One that
// can't gets a moment to find room for all of its tasks, as word of room elsewhere
// may be on its way, unless the wait is out of all proportion. Nothing of it starts
// before, because work for a job that comes too late is taken from the next ones.
// A job that is late, because it found none or came late, fills what others leave.
func (m *Model) admit(now time.Time, j *job) []Cmd {
	wait := m.wait(now, j)
	switch {
	case m.Total() == 0:
		// Nothing is known of any server; they are being taken over.
	case !now.Before(j.latest):
		j.undecided = true
	case float64(wait) > m.limits.Hopeless*float64(j.slack()):
		return m.refuse(now, j, core.ReasonWait)
	case float64(wait) > m.limits.Admit*float64(j.slack()):
		j.undecided = true
	default:
		m.accept(now, j)
	}
	return m.dispatch(now)
}

// accept counts a job as admitted.
func (m *Model) accept(now time.Time, j *job) {
	j.undecided = false
	m.demands[j.Route] = m.demands[j.Route].with(now, j.slack(), j.backlog)
}

// fits reports whether there is room for all tasks of a job that may start now.
func (m *Model) fits(now time.Time, j *job) bool {
	size, due := j.largest(), 0
	for _, t := range j.tasks {
		if j.due(now, t) {
			due++
		}
	}
	return m.usable(size) >= due*size.CPU
}

// isLate reports whether a job that hasn't begun will not start in time.
func (m *Model) isLate(now time.Time, j *job, wait time.Duration) bool {
	if m.Total() == 0 {
		return now.Add(j.least()).After(j.useful)
	}
	return now.Add(wait).After(j.Arrived.Add(time.Duration(m.limits.Overdue * float64(j.slack()))))
}

// isHopeless reports whether a late job has to wait for too long.
func (m *Model) isHopeless(now time.Time, j *job, wait time.Duration) bool {
	left := j.useful.Sub(now) - j.least()
	return now.Sub(j.taken) >= m.limits.Patience && float64(wait) > m.limits.Hope*float64(left)
}

// expire refuses jobs that wait in vain and gives up those that can't end in
// time.
func (m *Model) expire(now time.Time) []Cmd {
	var cmds []Cmd
	ahead := 0 // of a job, by jobs that stay
	for _, j := range m.sorted() {
		if m.turnsLate(now, j, ahead+j.backlog) {
			m.postpone(j)
		}
		if reason := m.inVain(now, j, ahead+j.backlog); reason != "" {
			cmds = append(cmds, m.giveUp(now, j, reason)...)
		} else if j.waits() {
			ahead += j.backlog
		}
	}
	return cmds
}

// turnsLate reports whether a job that hasn't begun is to wait behind those that can
// still start in time.
func (m *Model) turnsLate(now time.Time, j *job, ahead int) bool {
	switch {
	case j.began || j.late || !j.waits():
		return false
	case j.undecided:
		return now.Sub(j.taken) >= m.limits.Patience
	}
	return m.isLate(now, j, m.waitBehind(now, j, ahead))
}

// postpone puts a job behind those that can still start in time.
func (m *Model) postpone(j *job) {
	m.queue = slices.DeleteFunc(m.queue, func(o *job) bool { return o == j })
	j.late, j.undecided = true, false
	m.enqueue(j)
}

// inVain returns why a job is to be given up, or "".
func (m *Model) inVain(now time.Time, j *job, ahead int) core.Reason {
	switch {
	case !now.Before(j.Deadline.Add(-answerMargin)):
		return core.ReasonDeadline
	case !j.waits():
	case !j.running() && now.Add(j.least()).After(j.Deadline):
		return core.ReasonDeadline
	case j.late && !j.began && m.isHopeless(now, j, m.waitBehind(now, j, ahead)):
		return core.ReasonWait
	}
	return ""
}

// answerMargin is the time that an answer needs to reach its caller, by way of the
// host that took the job, before the caller stops waiting.
const answerMargin = 40 * time.Millisecond

// least returns a low guess of the time that the waiting tasks need.
func (j *job) least() time.Duration {
	var most time.Duration
	for _, t := range j.tasks {
		if t.state == waiting {
			most = max(most, j.expect[t.step]/2)
		}
	}
	return most
}

// sorted returns the jobs that wait, and then the others by deadline.
func (m *Model) sorted() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	return jobs
}

// refuse answers that nothing of a job ran or will run.
func (m *Model) refuse(now time.Time, j *job, reason core.Reason) []Cmd {
	return m.finish(now, j, work.Outcome{
		State:      work.Refused,
		Reason:     reason,
		RetryAfter: max(minRetry, m.wait(now, j)),
	})
}

// minRetry is the least time after which a refused caller may come back.
const minRetry = 100 * time.Millisecond

// giveUp answers for a job whose time has passed.
func (m *Model) giveUp(now time.Time, j *job, reason core.Reason) []Cmd {
	if !j.began {
		return m.refuse(now, j, reason)
	}
	return m.finish(now, j, work.Outcome{
		State:  work.Broken,
		Reason: reason,
	})
}
