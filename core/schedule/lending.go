package schedule

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core/work"
)

// lentJob is a job of which the own pool has runs for the home that coordinates it.
type lentJob struct {
	home string
	runs map[string]time.Time // by owner in the pool; when a run counts as ended whose end is unknown, zero for the others
}

// recordLend records that the own pool runs a task for another home.
func (m *Model) recordLend(now time.Time, msg LendMsg) {
	if msg.Home == "" || m.limits.AnnouncementTTL == 0 {
		return
	}
	// An idle host gets no ticks.
	m.expireLent(now)
	l := m.lent[msg.Job]
	if l == nil || l.home != msg.Home {
		l = &lentJob{
			home: msg.Home,
			runs: map[string]time.Time{},
		}
		m.lent[msg.Job] = l
	}
	l.runs[msg.Owner] = time.Time{}
}

// recordLentEnd records the end of such a run. One whose end is unknown counts as ended when
// its lease must have expired.
func (m *Model) recordLentEnd(now time.Time, msg LentEndMsg) {
	l := m.lent[msg.Job]
	if l == nil {
		return
	}
	if _, ok := l.runs[msg.Owner]; ok && msg.End == work.EndUnknown {
		l.runs[msg.Owner] = m.unknownExpiry(now)
		return
	}
	delete(l.runs, msg.Owner)
	if len(l.runs) == 0 {
		delete(m.lent, msg.Job)
	}
}

// expireLent deletes the lent runs that now count as ended.
func (m *Model) expireLent(now time.Time) {
	maps.DeleteFunc(m.lent, func(_ string, l *lentJob) bool {
		maps.DeleteFunc(l.runs, func(_ string, endsAt time.Time) bool { return !endsAt.IsZero() && !now.Before(endsAt) })
		return len(l.runs) == 0
	})
}

// lentTo returns the other home for which the own pool has runs of a job.
func (m *Model) lentTo(now time.Time, id string) (home string, ok bool) {
	l := m.lent[id]
	if l == nil {
		return "", false
	}
	for _, endsAt := range l.runs {
		if endsAt.IsZero() || now.Before(endsAt) {
			return l.home, true
		}
	}
	return "", false
}

// Lent returns the sorted IDs of the jobs of which the own pool has runs for other homes, by
// home.
func (m *Model) Lent(now time.Time) map[string][]string {
	jobs := map[string][]string{}
	for _, id := range slices.Sorted(maps.Keys(m.lent)) {
		if home, ok := m.lentTo(now, id); ok {
			jobs[home] = append(jobs[home], id)
		}
	}
	return jobs
}

// MayLend reports whether the own pool may run a task of a job for another home. It may not
// if it runs the job for a third one, or a run of this home's own job may exist, or a third
// home has announced the job: the lender has promised that one to start no task of it.
func (m *Model) MayLend(now time.Time, home, id string) bool {
	if j := m.jobs[id]; m.ending[id] != nil || (j != nil && j.running()) {
		return false
	}
	if home == "" {
		_, lent := m.lentTo(now, id)
		return !lent
	}
	other, ok := m.announcer(now, id)
	return !ok || other == home
}
