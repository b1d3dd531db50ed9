package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core/work"
)

// confirm records when callers were last known to wait.
func (m *Model) confirm(now time.Time, msg ConfirmMsg) []Cmd {
	var confirmed []*job
	for _, c := range msg.Callers {
		j := m.jobs[m.callers[c.Caller]]
		if j == nil || !c.At.After(j.waitedAt) {
			continue
		}
		j.waitedAt = c.At
		confirmed = append(confirmed, j)
	}
	return m.reconfirm(now, confirmed...)
}

// confirmation returns the time that bounds the runs of a job: its caller was known to wait
// then, and no other home starts the job as long as a run may last from then on: all homes
// of the plan and most hosts voted for this one. The caller submits an attempt
// to other homes no sooner than that, so the time of this attempt counts even if no other
// home knows of the job.
func (m *Model) confirmation(now time.Time, j *job) time.Time {
	at := j.waitedAt
	if m.limits.AnnouncementTTL == 0 {
		return at
	}
	limit := func(to time.Time) {
		if to.Before(j.Received) {
			to = j.Received
		}
		if to.Before(at) {
			at = to
		}
	}
	for home := range m.homes {
		if !m.hasLeft(now, j, home) {
			limit(j.answers[home].sentAt)
		}
	}
	if m.limits.MajorityWait > 0 {
		limit(m.majorityAt(j))
	}
	return at
}

// reconfirm updates the confirmations of jobs. It returns commands for those with tasks in
// the own pool, as their leases depend on it; other hosts ask themselves.
func (m *Model) reconfirm(now time.Time, jobs ...*job) []Cmd {
	var cmds []Cmd
	resumed := false
	for _, j := range jobs {
		at := m.confirmation(now, j)
		if !at.After(j.confirmedAt) {
			continue
		}
		resumed = resumed || !m.isConfirmed(now, j)
		limit := m.limits.MaxUnconfirmed
		j.unconfirmed = j.unconfirmed || (limit > 0 && now.Sub(j.confirmedAt) > limit)
		j.confirmedAt = at
		if j.runsOn(m.self) {
			cmds = append(cmds, ConfirmCmd{
				Job: j.ID,
				At:  at,
			})
		}
	}
	if resumed {
		cmds = append(cmds, m.dispatch(now)...)
	}
	return cmds
}

// isConfirmed reports whether a job was confirmed recently enough for a whole lease to end
// before its caller could have it started elsewhere.
func (m *Model) isConfirmed(now time.Time, j *job) bool {
	return m.limits.MaxConfirmAge == 0 || now.Sub(j.confirmedAt) <= m.limits.MaxConfirmAge
}

// isEligible reports whether tasks of a job may start as far as this home knows.
func (m *Model) isEligible(now time.Time, j *job) bool {
	_, announced := m.announcer(now, j.ID)
	return m.isConfirmed(now, j) && !announced && !m.isUninformed(now)
}

func (j *job) runsOn(host string) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == placed && t.host == host })
}

// ConfirmedAt returns the time that bounds a run which another host's pool has: when the
// job was last confirmed. It returns false if this host doesn't wait for the end of that run.
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
