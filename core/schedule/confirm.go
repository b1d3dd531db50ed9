package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core/work"
)

// confirm records when callers were last known to wait. It returns commands for the jobs
// with tasks in the own pool, as their leases depend on it; other hosts ask themselves.
func (m *Model) confirm(now time.Time, msg ConfirmMsg) []Cmd {
	var cmds []Cmd
	resumed := false
	for _, c := range msg.Callers {
		j := m.jobs[m.callers[c.Caller]]
		if j == nil || !c.At.After(j.confirmedAt) {
			continue
		}
		resumed = resumed || !m.isConfirmed(now, j)
		j.confirmedAt = c.At
		if j.runsOn(m.self) {
			cmds = append(cmds, ConfirmCmd{
				Job: j.ID,
				At:  c.At,
			})
		}
	}
	if resumed {
		cmds = append(cmds, m.dispatch(now)...)
	}
	return cmds
}

// isConfirmed reports whether tasks of a job may start: its caller was known to wait
// recently enough for a whole lease to end before the caller could have the job started
// elsewhere.
func (m *Model) isConfirmed(now time.Time, j *job) bool {
	return m.limits.MaxConfirmAge == 0 || now.Sub(j.confirmedAt) <= m.limits.MaxConfirmAge
}

func (j *job) runsOn(host string) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == placed && t.host == host })
}

// ConfirmedAt returns when the caller of a run that another host's pool has was last known
// to wait, or false if this host doesn't wait for the end of that run.
func (m *Model) ConfirmedAt(host string, order work.Task) (at time.Time, waiting bool) {
	j := m.jobs[order.Job]
	if j == nil || j.submission != order.Submission {
		return time.Time{}, false
	}
	t := j.find(order.Step, order.Index)
	if t == nil || t.state != placed || t.host != host || t.run != order.Run {
		return time.Time{}, false
	}
	return j.confirmedAt, true
}
