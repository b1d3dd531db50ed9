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
// start it a second time. The same holds, whatever their age, for jobs that were given up
// until their runs have ended, for long jobs and for jobs that not all homes have acknowledged.
func (m *Model) Announceable(now time.Time) []string {
	if m.limits.AnnouncementTTL == 0 {
		return nil
	}
	var ids []string
	for id, j := range m.jobs {
		awaited := m.limits.ShortJob > 0 && (!m.isShort(j) || !m.isAcknowledged(j))
		if awaited || now.Sub(j.Arrived) >= m.limits.AnnounceAge || !m.isConfirmed(now, j) {
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
	if now.Sub(m.expiredAt) >= m.limits.AnnouncementTTL {
		// An idle host gets no ticks.
		m.expireAnnouncements(now)
	}
	var answer AcknowledgeCmd
	var cmds []Cmd
	for _, id := range msg.Jobs {
		if third, ok := m.announcer(now, id); ok && third != msg.Host {
			// The third home may run the job and not know the one that announces it now.
			continue
		}
		if m.keeps(id, msg.Host) {
			answer.Refused = append(answer.Refused, id)
			continue
		}
		answer.Jobs = append(answer.Jobs, id)
		m.announcements[id] = announcement{
			host:      msg.Host,
			expiresAt: now.Add(m.limits.AnnouncementTTL),
		}
		cmds = append(cmds, m.yield(now, id, msg.Host)...)
	}
	cmds = append(cmds, answer)
	if msg.Complete && m.unheard[msg.Host] {
		delete(m.unheard, msg.Host)
		cmds = append(cmds, m.dispatch(now)...)
	}
	return cmds
}

// isNew reports whether runs of the previous process of a host may still go on, given the
// age of its process, or 0 if that is unknown.
func (m *Model) isNew(age time.Duration) bool { return age > 0 && age < m.limits.AnnouncementTTL }

// yield leaves a job to another home, unless a task of it was started here.
func (m *Model) yield(now time.Time, id, host string) []Cmd {
	j := m.jobs[id]
	if j == nil || j.started {
		return nil
	}
	return m.finish(now, j, work.Outcome{
		State: work.Elsewhere,
		Home:  host,
	})
}

// isAcknowledged reports whether all other homes have acknowledged a job.
func (m *Model) isAcknowledged(j *job) bool {
	for home := range m.homes {
		if j.answers[home].sentAt.IsZero() {
			return false
		}
	}
	return true
}

// isFirst reports whether a job is taken for one that was submitted nowhere before. The entry
// may be wrong about that, so it counts only if runs of the job end before its caller may come
// again. The caller of an attempt that waits for long may have left over a half-open
// connection, and come again.
func (m *Model) isFirst(now time.Time, j *job) bool {
	limit := m.limits.MaxUnconfirmed
	guessed := j.First && m.isShort(j) && !m.mayBeCounted(now)
	return guessed && !j.wasElsewhere && !j.unconfirmed && (j.started || limit == 0 || now.Sub(j.Received) <= limit)
}

// isShort reports whether a job is expected to end while its caller can't have submitted it
// elsewhere. A job of unknown length isn't.
func (m *Model) isShort(j *job) bool {
	limit, longest := m.limits.ShortJob, max(j.criticalPath(), j.DeclaredPath())
	return limit == 0 || (longest > 0 && longest < limit)
}

// seemsShort reports whether other homes may take a job for a short one.
func (m *Model) seemsShort(j *job) bool { return j.DeclaredPath() < m.limits.ShortJob }

// mayBeCounted reports whether this home lacks a majority, and became a home so recently that
// the votes of this host may still count for runs at another one.
func (m *Model) mayBeCounted(now time.Time) bool {
	return !m.noMajoritySince.IsZero() && m.member && now.Sub(m.memberSince) < m.limits.AnnouncementTTL
}

// IsFirst reports whether a job of this home is taken for a first attempt, and whether its
// entry took it for one.
func (m *Model) IsFirst(now time.Time, id string) (first, guessed bool) {
	j := m.jobs[id]
	if j == nil {
		return false, false
	}
	return m.isFirst(now, j), j.First
}

// awaitsAcknowledgement reports whether a job must not start yet because another home may
// run it: one of the plan hasn't acknowledged it, or too few hosts whose homes would know of
// an earlier run have. The runs of what seem to be first attempts need no majority, as they end
// before their callers may submit the jobs elsewhere, unless the request was late by more.
func (m *Model) awaitsAcknowledgement(now time.Time, j *job) bool {
	if m.limits.ShortJob == 0 {
		return false
	}
	first := m.isFirst(now, j)
	// Other homes may have acknowledged the job to an earlier process at this address.
	young := now.Sub(m.startedAt) < m.limits.AnnouncementTTL
	if now.Before(j.heldUntil) || (young && !first) {
		return true
	}
	for home := range m.homes {
		if !j.answers[home].sentAt.IsZero() {
			continue
		}
		if first && m.member && m.isUnreachable(now, j, home) {
			continue
		}
		if first || !m.hasLeft(now, j, home) {
			return true
		}
	}
	return !m.homesKnown || (!first && !m.hasMajority(now, j))
}

// KnowsEarlierRuns reports whether jobs that may run elsewhere don't wait at this host for its
// own age: no run of an earlier process is left, and as a home it got all announcements. A
// host that becomes a home later than it learns of the homes is waited for only as long again.
func (m *Model) KnowsEarlierRuns(now time.Time) bool {
	ttl := m.limits.AnnouncementTTL
	if m.limits.ShortJob == 0 {
		return true
	}
	age := now.Sub(m.startedAt)
	if m.startedAt.IsZero() || age < ttl {
		return false
	}
	return !m.member || m.limits.MajorityWait == 0 || now.Sub(m.memberSince) >= ttl || age >= 2*ttl
}

// isUnreachable reports whether a home has acknowledged nothing for so long that first
// submissions don't wait for it any more. Their runs then end as if it could start them.
func (m *Model) isUnreachable(now time.Time, j *job, home string) bool {
	return now.Sub(m.silentSince(j, home)) >= m.limits.AnnounceAge
}

// hasLeft reports whether a home of another failure domain has acknowledged nothing for as long
// as homes that nobody hears stay in the plan. Other hosts may still hear it.
func (m *Model) hasLeft(now time.Time, j *job, home string) bool {
	wait := m.limits.MajorityWait
	return wait > 0 && m.homes[home] != m.domain && now.Sub(m.silentSince(j, home)) >= wait
}

// silentSince returns since when a home leaves announcements unanswered, among them those of a
// job.
func (m *Model) silentSince(j *job, home string) time.Time {
	if since, ok := m.unansweredSince[home]; ok {
		return since
	}
	since := m.heardAt[home]
	if j.acceptedAt.After(since) {
		since = j.acceptedAt
	}
	return since
}

// announceNow returns the command that announces a job at once.
func (m *Model) announceNow(now time.Time, j *job) Cmd {
	for home := range m.homes {
		if m.unansweredSince[home].IsZero() {
			m.unansweredSince[home] = now
		}
	}
	return AnnounceCmd{Job: j.ID}
}

// ask asks all other homes for the jobs that they coordinate: this home may not know what
// they announced before.
func (m *Model) ask(now time.Time) []Cmd {
	if m.limits.AnnouncementTTL == 0 || !m.member {
		return nil
	}
	m.unheardUntil = now.Add(m.limits.AnnouncementTTL)
	clear(m.unheard)
	var cmds []Cmd
	for _, host := range slices.Sorted(maps.Keys(m.homes)) {
		cmds = append(cmds, m.askHome(host))
	}
	return cmds
}

func (m *Model) askHome(host string) Cmd {
	m.unheard[host] = true
	return AskCmd{
		Host:  host,
		Until: m.unheardUntil,
	}
}

// isUninformed reports whether another home may have announced jobs without this one knowing.
func (m *Model) isUninformed(now time.Time) bool {
	return len(m.unheard) > 0 && now.Before(m.unheardUntil)
}

// keeps reports whether this home doesn't leave a job to another home that announces it: a
// run may exist, or the own address precedes that of the other home, which leaves the job to
// this one unless it runs it.
func (m *Model) keeps(id, host string) bool {
	if m.ending[id] != nil {
		return true
	}
	j := m.jobs[id]
	return j != nil && (j.running() || m.self < host)
}

// acknowledge records which announced jobs another home doesn't start, and leaves the others
// to it.
func (m *Model) acknowledge(now time.Time, msg AcknowledgedMsg) []Cmd {
	delete(m.unansweredSince, msg.Host)
	if _, ok := m.homes[msg.Host]; ok {
		m.heardAt[msg.Host] = now
		m.homeVotes[msg.Host] = msg.Votes
		m.recordMajority(now)
	}
	var cmds []Cmd
	for _, id := range msg.Refused {
		cmds = append(cmds, m.yield(now, id, msg.Host)...)
	}
	for _, id := range msg.Held {
		if j := m.jobs[id]; j != nil {
			j.heldUntil = now.Add(m.limits.AnnouncementTTL)
		}
	}
	var acknowledged []*job
	startable := false // a job that waited for this answer
	for _, id := range msg.Jobs {
		j := m.jobs[id]
		if !m.counts(msg.Host) || j == nil || !msg.SentAt.After(j.answers[msg.Host].sentAt) {
			continue
		}
		if j.answers == nil {
			j.answers = map[string]answer{}
		}
		awaited := m.awaitsAcknowledgement(now, j)
		a := j.answers[msg.Host]
		a.sentAt = msg.SentAt
		a.startedBy = time.Time{}
		if msg.Age > 0 {
			a.startedBy = now.Add(-msg.Age)
		}
		tenure := max(msg.HomeFor, msg.WasFor+msg.Left)
		a.votes, a.knows = msg.Votes, !m.isNew(msg.Age) && (m.limits.MajorityWait == 0 || tenure >= m.limits.AnnouncementTTL)
		j.answers[msg.Host] = a
		startable = startable || (awaited && !m.awaitsAcknowledgement(now, j))
		acknowledged = append(acknowledged, j)
	}
	cmds = append(cmds, m.reconfirm(now, acknowledged...)...)
	if startable {
		cmds = append(cmds, m.dispatch(now)...)
	}
	return cmds
}

// setHomes sets the other homes. One that is new here has acknowledged nothing: it may have
// been a home before, in the views of others.
func (m *Model) setHomes(now time.Time, msg HomesMsg) []Cmd {
	homes := make(map[string]string, len(msg.Hosts))
	for _, host := range msg.Hosts {
		homes[host] = msg.Domains[host]
	}
	changed := !maps.Equal(homes, m.homes)
	added := slices.DeleteFunc(slices.Clone(msg.Hosts), func(host string) bool {
		_, known := m.homes[host]
		return known
	})
	m.recordMembership(now, homes, msg.Member)
	for home := range m.homes {
		if _, stays := homes[home]; !stays {
			m.removeHome(home)
		}
	}
	m.homes, m.homesKnown = homes, true
	if changed {
		m.homesByDomain = groupByDomain(homes)
	}
	for _, home := range added {
		m.forgetAnswers(home)
		m.heardAt[home] = now
	}
	joined := msg.Member && !m.member
	m.member, m.domain, m.votes, m.needed, m.all = msg.Member, msg.Domain, msg.Votes, msg.Needed, msg.All
	if joined {
		m.memberSince = now
	}
	m.votedAt = now
	m.recordMajority(now)
	if !changed && !joined {
		return nil
	}
	cmds := m.reconfirm(now, m.sortedJobs()...)
	switch {
	case joined:
		cmds = append(cmds, m.ask(now)...)
	case m.member && now.Before(m.unheardUntil):
		for _, host := range added {
			cmds = append(cmds, m.askHome(host))
		}
	}
	return append(cmds, m.dispatch(now)...)
}

func (m *Model) removeHome(home string) {
	delete(m.unansweredSince, home)
	delete(m.heardAt, home)
	delete(m.homeVotes, home)
	m.forgetAnswers(home)
}

func (m *Model) forgetAnswers(home string) {
	for _, j := range m.jobs {
		delete(j.answers, home)
	}
}

// counts reports whether the acknowledgements of a host count, as one of the homes or a former one.
func (m *Model) counts(host string) bool {
	_, home := m.homes[host]
	_, former := m.former[host]
	return home || former
}

// expireAnnouncements deletes the announcements that were not renewed.
func (m *Model) expireAnnouncements(now time.Time) {
	m.expiredAt = now
	for id, a := range m.announcements {
		if !now.Before(a.expiresAt) {
			delete(m.announcements, id)
		}
	}
}

// announcer returns the other home that recently announced a job, or for which the own pool
// has runs of it.
func (m *Model) announcer(now time.Time, id string) (host string, ok bool) {
	if home, lent := m.lentTo(now, id); lent {
		return home, true
	}
	a, ok := m.announcements[id]
	return a.host, ok && now.Before(a.expiresAt)
}

// withoutStart returns the outcome of submitting an unknown job that must not be started
// here.
func (m *Model) withoutStart(now time.Time, msg SubmitMsg) (outcome work.Outcome, ok bool) {
	host, announced := m.announcer(now, msg.Job.ID)
	if announced && host == msg.AbsentAt {
		delete(m.announcements, msg.Job.ID)
		announced = false
	}
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
	case msg.OtherService:
		return work.Outcome{State: work.Absent}, true
	}
	return work.Outcome{}, false
}

// Has reports whether this home coordinates a job, or retains its outcome, or waits for the
// end of its runs.
func (m *Model) Has(id string) bool {
	_, finished := m.finished[id]
	return finished || m.jobs[id] != nil || m.ending[id] != nil
}

// IsAnnounced reports whether a home other than absentAt recently announced a job, or has
// runs of it in the own pool.
func (m *Model) IsAnnounced(now time.Time, id, absentAt string) bool {
	host, ok := m.announcer(now, id)
	return ok && host != absentAt
}
