package schedule

import (
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
	return ""
}

// wait estimates how long it takes until the last task of a job starts: what
// is due before it and the job itself, at the rate of the own pool.
func (m *Model) wait(j *job) time.Duration {
	own := m.rooms[m.self]
	total := 0
	if own != nil {
		total = own.total
	}
	if total == 0 {
		for _, r := range m.rooms {
			total += r.total
		}
	}
	if total == 0 {
		return time.Hour
	}
	sum := 0.0
	for _, other := range m.queue {
		if other == j || compare(other, j) < 0 {
			sum += other.backlog()
		}
	}
	return time.Duration(sum / float64(total) * float64(time.Second))
}

// isLate reports whether a job that waits would start too late. The allowance
// is a part of the time between arrival and latest start.
func (m *Model) isLate(now time.Time, j *job) bool {
	slack := j.latest.Sub(j.Arrived)
	latest := j.Arrived.Add(time.Duration(m.limits.Lateness * float64(slack)))
	return now.Add(m.wait(j)).After(latest)
}

// expire refuses jobs that wait in vain and gives up those that can't end in
// time.
func (m *Model) expire(now time.Time) []Cmd {
	var cmds []Cmd
	for _, j := range m.sorted() {
		switch {
		case !now.Before(j.Deadline):
			cmds = append(cmds, m.giveUp(now, j, core.ReasonDeadline)...)
		case !j.waits():
		case !j.began && m.isLate(now, j):
			cmds = append(cmds, m.refuse(now, j, core.ReasonWait)...)
		case !j.running() && now.Add(j.least()).After(j.Deadline):
			cmds = append(cmds, m.giveUp(now, j, core.ReasonDeadline)...)
		}
	}
	return cmds
}

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
		State:  work.Refused,
		Reason: reason,
		Retry:  max(minRetry, m.wait(j)),
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
