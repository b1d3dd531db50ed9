package schedule

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// announcement is the latest report that another home coordinates a job.
type announcement struct {
	host      string
	expiresAt time.Time
}

// Announceable returns the sorted IDs of the unfinished jobs that the other homes must
// know of. A home depends on the failure domain of the host that received the job, so a
// job that its caller sends again to another failure domain has another home, which would
// start it a second time. The same holds for jobs that were given up, whatever their age,
// until their runs have ended, and for jobs that can't start without an acknowledgement.
func (m *Model) Announceable(now time.Time) []string {
	if m.limits.AnnouncementTTL == 0 {
		return nil
	}
	var ids []string
	for id, j := range m.jobs {
		if now.Sub(j.Arrived) >= m.limits.AnnounceAge || !m.isConfirmed(now, j) {
			ids = append(ids, id)
		}
	}
	ids = slices.AppendSeq(ids, maps.Keys(m.ending))
	slices.Sort(ids)
	return slices.Compact(ids)
}

// recordAnnouncements stores the jobs that another home coordinates, and acknowledges them.
func (m *Model) recordAnnouncements(now time.Time, msg AnnouncedMsg) []Cmd {
	if msg.Host == m.self {
		return nil
	}
	// An idle host gets no ticks.
	m.expireAnnouncements(now)
	var acknowledged []string
	for _, id := range msg.Jobs {
		if m.keeps(now, id, msg.Host) {
			continue
		}
		acknowledged = append(acknowledged, id)
		m.announcements[id] = announcement{
			host:      msg.Host,
			expiresAt: now.Add(m.limits.AnnouncementTTL),
		}
	}
	cmds := []Cmd{AcknowledgeCmd{Jobs: acknowledged}}
	switch {
	case !msg.Complete || !m.unheard[msg.Host]:
	case m.isNew(msg.Age):
		// The previous process of that home may have announced jobs that still run.
		if until := now.Add(m.limits.AnnouncementTTL - msg.Age); until.After(m.unheardUntil) {
			m.unheardUntil = until
		}
	default:
		delete(m.unheard, msg.Host)
		cmds = append(cmds, m.dispatch(now)...)
	}
	return cmds
}

// isNew reports whether runs of the previous process of a host may still go on, given the
// age of its process, or 0 if that is unknown.
func (m *Model) isNew(age time.Duration) bool { return age > 0 && age < m.limits.AnnouncementTTL }

// ask asks all other homes for the jobs that they coordinate: this home may not know what
// they announced before.
func (m *Model) ask(now time.Time) []Cmd {
	if m.limits.AnnouncementTTL == 0 || !m.member {
		return nil
	}
	m.unheardUntil = now.Add(m.limits.AnnouncementTTL)
	var cmds []Cmd
	for _, host := range slices.Sorted(maps.Keys(m.homes)) {
		m.unheard[host] = true
		cmds = append(cmds, AskCmd{
			Host:  host,
			Until: m.unheardUntil,
		})
	}
	return cmds
}

// isUninformed reports whether another home may have announced jobs without this one knowing.
func (m *Model) isUninformed(now time.Time) bool {
	return len(m.unheard) > 0 && now.Before(m.unheardUntil)
}

// keeps reports whether this home doesn't leave a job to another home that announces it: a
// run may exist, or a task may start and the own address precedes that of the other home.
func (m *Model) keeps(now time.Time, id, host string) bool {
	if m.ending[id] != nil {
		return true
	}
	j := m.jobs[id]
	return j != nil && (j.running() || (m.mayStart(now, j) && m.self < host))
}

// acknowledge records that another home doesn't start announced jobs.
func (m *Model) acknowledge(now time.Time, msg AcknowledgedMsg) []Cmd {
	var acknowledged []*job
	for _, id := range msg.Jobs {
		j := m.jobs[id]
		if j == nil || !msg.SentAt.After(j.acknowledged[msg.Host]) {
			continue
		}
		if j.acknowledged == nil {
			j.acknowledged = map[string]time.Time{}
		}
		j.acknowledged[msg.Host] = msg.SentAt
		acknowledged = append(acknowledged, j)
	}
	return m.reconfirm(now, acknowledged...)
}

// setHomes sets the other homes. One that is new asks for what was announced before it
// starts anything, so announcements that it hasn't seen don't matter yet.
func (m *Model) setHomes(now time.Time, msg HomesMsg) []Cmd {
	homes := make(map[string]time.Time, len(msg.Hosts))
	changed := len(msg.Hosts) != len(m.homes)
	for _, host := range msg.Hosts {
		since, known := m.homes[host]
		if !known {
			since, changed = now, true
		}
		homes[host] = since
	}
	m.homes = homes
	maps.DeleteFunc(m.unheard, func(host string, _ bool) bool { _, ok := homes[host]; return !ok })
	joined := msg.Member && !m.member
	m.member = msg.Member
	if !changed && !joined {
		return nil
	}
	cmds := m.reconfirm(now, m.sortedJobs()...)
	if joined {
		cmds = append(cmds, m.ask(now)...)
	}
	return append(cmds, m.dispatch(now)...)
}

// expireAnnouncements deletes the announcements that were not renewed.
func (m *Model) expireAnnouncements(now time.Time) {
	for id, a := range m.announcements {
		if !now.Before(a.expiresAt) {
			delete(m.announcements, id)
		}
	}
}

// announcer returns the other home that recently announced a job.
func (m *Model) announcer(now time.Time, id string) (host string, ok bool) {
	a, ok := m.announcements[id]
	return a.host, ok && now.Before(a.expiresAt)
}

// withoutStart returns the outcome of submitting an unknown job that must not be started
// here.
func (m *Model) withoutStart(now time.Time, msg SubmitMsg) (outcome work.Outcome, ok bool) {
	if msg.Local {
		delete(m.announcements, msg.Job.ID)
	}
	host, announced := m.announcer(now, msg.Job.ID)
	switch {
	case msg.JoinOnly && now.Sub(m.startedAt) < m.limits.AnnouncementTTL:
		// A previous process of this host may have announced the job, and its runs may
		// not have ended.
		return work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonLink,
		}, true
	case msg.JoinOnly:
		return work.Outcome{State: work.Absent}, true
	case announced:
		return work.Outcome{
			State: work.Elsewhere,
			Home:  host,
		}, true
	case msg.Resubmitted:
		// A previous process of this host may have started tasks of this job that
		// still run or are being stopped. Starting them now could run them twice.
		return work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonLink,
		}, true
	}
	return work.Outcome{}, false
}
