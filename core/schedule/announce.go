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
// until their runs have ended.
func (m *Model) Announceable(now time.Time) []string {
	var ids []string
	for id, j := range m.jobs {
		if now.Sub(j.Arrived) >= m.limits.AnnounceAge {
			ids = append(ids, id)
		}
	}
	ids = slices.AppendSeq(ids, maps.Keys(m.ending))
	slices.Sort(ids)
	return ids
}

// recordAnnouncements stores the jobs that another home coordinates.
func (m *Model) recordAnnouncements(now time.Time, msg AnnouncedMsg) {
	if msg.Host == m.self {
		return
	}
	// An idle host gets no ticks.
	m.expireAnnouncements(now)
	for _, id := range msg.Jobs {
		m.announcements[id] = announcement{
			host:      msg.Host,
			expiresAt: now.Add(m.limits.AnnouncementTTL),
		}
	}
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
	case announced && !msg.Local:
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
