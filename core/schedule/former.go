package schedule

import (
	"maps"
	"slices"
	"time"
)

// formerHome is a home that has left the plan so recently that runs may go on that it has
// acknowledged and its successor doesn't know.
type formerHome struct {
	domain string
	since  time.Time // when it became a home in this host's plan
	leftAt time.Time
}

// FormerHomes returns the homes that left the plan recently, sorted. Jobs are announced to them
// too: they know what their successors don't.
func (m *Model) FormerHomes(now time.Time) []string {
	m.expireFormer(now)
	return slices.Sorted(maps.Keys(m.former))
}

// Tenure returns for how long this host was a home, and how long ago it ceased to be one. Both are
// 0 for a home, and for one whose announcements have expired since.
func (m *Model) Tenure(now time.Time) (was, left time.Duration) {
	left = now.Sub(m.leftAt)
	if m.member || m.leftAt.IsZero() || left >= m.limits.AnnouncementTTL {
		return 0, 0
	}
	return m.wasFor, left
}

// recordMembership records the times at which homes enter and leave the plan, and at which this
// host becomes a home or ceases to be one.
func (m *Model) recordMembership(now time.Time, homes map[string]string, member bool) {
	if m.member && !member {
		m.wasFor, m.leftAt = now.Sub(m.memberSince), now
	}
	m.expireFormer(now)
	for home, domain := range m.homes {
		if _, stays := homes[home]; !stays && m.limits.AskFormer {
			m.former[home] = formerHome{
				domain: domain,
				since:  m.enteredAt[home],
				leftAt: now,
			}
		}
	}
	for home := range homes {
		if _, known := m.homes[home]; known {
			continue
		}
		m.enteredAt[home] = now
		if f, ok := m.former[home]; ok {
			// Its earlier process may have been the one that left.
			m.enteredAt[home] = f.since
			delete(m.former, home)
		}
	}
	maps.DeleteFunc(m.enteredAt, func(home string, _ time.Time) bool {
		_, stays := homes[home]
		return !stays
	})
}

// forgetMembership makes this host rely on no home's history: it was paused, and may have missed
// a change of the plan.
func (m *Model) forgetMembership(now time.Time) {
	m.leftAt = time.Time{}
	for home := range m.enteredAt {
		m.enteredAt[home] = now
	}
	clear(m.former)
}

func (m *Model) expireFormer(now time.Time) {
	maps.DeleteFunc(m.former, func(_ string, f formerHome) bool {
		return now.Sub(f.leftAt) >= m.limits.AnnouncementTTL
	})
}

// isInformed reports whether the homes that a failure domain had, as far as this host knows, at
// any time since announcements count have acknowledged a job, and those that it had at the
// beginning of that time would know of earlier runs. Its new homes need not know them then: any
// run that they don't know was acknowledged by one of the others, which would refuse the job.
func (m *Model) isInformed(now time.Time, j *job, domain string) bool {
	if !m.limits.AskFormer {
		return false
	}
	begin := now.Add(-m.limits.AnnouncementTTL)
	known := false
	covers := func(home string, since time.Time) bool {
		a := j.answers[home]
		if since.After(begin) {
			// A process that is younger than that doesn't know what its predecessor acknowledged.
			return !a.sentAt.IsZero() && !a.startedBy.After(since)
		}
		known = true
		return a.knows
	}
	for home, d := range m.homes {
		if d == domain && !covers(home, m.enteredAt[home]) {
			return false
		}
	}
	for home, f := range m.former {
		if f.domain == domain && now.Sub(f.leftAt) < m.limits.AnnouncementTTL && !covers(home, f.since) {
			return false
		}
	}
	return known
}
