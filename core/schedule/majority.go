package schedule

import (
	"maps"
	"math"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// answer is what another home has answered to announcements of a job.
type answer struct {
	startedBy time.Time // the other home's process had started then; zero if unknown
	sentAt    time.Time // when the latest announcement was sent that it acknowledged
	votes     int       // of the hosts that it hears in its failure domain, as of that answer
	knows     bool      // it would know of earlier runs in its failure domain
}

// Votes returns the votes that this host gives to other homes, and for how long it
// has been a home. It has none if it isn't a home.
func (m *Model) Votes(now time.Time) (votes int, homeFor time.Duration) {
	if !m.member || now.Sub(m.votedAt) >= m.limits.MajorityWait {
		return 0, 0
	}
	return m.votes, now.Sub(m.memberSince)
}

// domainVotes are the votes of a failure domain for this home, and when it had them.
type domainVotes struct {
	votes int
	at    time.Time
}

// ownVotes reports whether this host counts the votes of its failure domain itself: it is a
// home, or there is none, as when the last host of a failure domain stops.
func (m *Model) ownVotes() bool {
	for _, homes := range m.homesByDomain {
		if m.homes[homes[0]] == m.domain {
			return m.member
		}
	}
	return true
}

// groupByDomain returns the homes of each failure domain, given the domain of each.
func groupByDomain(domains map[string]string) [][]string {
	var groups [][]string
	index := map[string]int{}
	for _, home := range slices.Sorted(maps.Keys(domains)) {
		i, ok := index[domains[home]]
		if !ok {
			i = len(groups)
			index[domains[home]] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], home)
	}
	return groups
}

// votesByDomain returns the votes of the failure domains, the own one first if this host counts
// these itself. All homes of another failure domain must vote for this one.
func (m *Model) votesByDomain(of func(home string) domainVotes) []domainVotes {
	all := make([]domainVotes, 0, 1+len(m.homesByDomain))
	own := m.ownVotes()
	if own {
		all = append(all, domainVotes{
			votes: m.votes,
			at:    m.votedAt,
		})
	}
	for _, homes := range m.homesByDomain {
		if own && m.homes[homes[0]] == m.domain {
			continue
		}
		votes := of(homes[0])
		for _, home := range homes[1:] {
			v := of(home)
			votes.votes = min(votes.votes, v.votes)
			if v.at.Before(votes.at) {
				votes.at = v.at
			}
		}
		all = append(all, votes)
	}
	return all
}

// isMajority reports whether no other home can have as many votes.
func (m *Model) isMajority(domains []domainVotes) bool { return hasVotes(domains, m.needed) }

// IsMajority reports whether no home that this one isn't in touch with can have as many votes,
// given those of the other homes. It is false if homes need no majority.
func (m *Model) IsMajority(now time.Time, votes map[string]int) bool {
	if m.limits.MajorityWait == 0 || now.Sub(m.votedAt) >= m.limits.MajorityWait {
		return false
	}
	return m.isMajority(m.votesByDomain(func(home string) domainVotes { return domainVotes{votes: votes[home]} }))
}

// hasVotes reports whether failure domains have the needed votes, which are 0 if unknown.
func hasVotes(domains []domainVotes, needed int) bool {
	votes := 0
	for _, v := range domains {
		votes += v.votes
	}
	return needed > 0 && votes >= needed
}

// hasMajority reports whether most hosts vote for this home for a job, and their homes
// would know of its earlier runs. A run of any home that outlives its attempt had a majority
// too, so at least one of these homes has acknowledged it.
func (m *Model) hasMajority(now time.Time, j *job) bool {
	if m.limits.MajorityWait == 0 {
		for home := range m.homes {
			if !j.answers[home].knows {
				return false
			}
		}
		return true
	}
	votes := m.votesByDomain(func(home string) domainVotes {
		a := j.answers[home]
		if !a.knows && !m.isInformed(now, j, m.homes[home]) {
			return domainVotes{}
		}
		return domainVotes{votes: a.votes}
	})
	if m.ownVotes() && now.Sub(m.memberSince) < m.limits.AnnouncementTTL && !m.isInformed(now, j, m.domain) {
		votes = votes[1:]
	}
	return m.isMajority(votes)
}

// HasMajority reports the same of a job by its ID.
func (m *Model) HasMajority(now time.Time, id string) bool {
	j := m.jobs[id]
	return j != nil && m.hasMajority(now, j)
}

// majorityAt returns the latest time at which enough hosts voted for this home for a job to
// outlive its attempt, or the zero time. A home without a majority may start what seems to be
// the first attempt at a short job, so all hosts must vote for the run of one.
func (m *Model) majorityAt(j *job) time.Time {
	needed := m.needed
	if m.seemsShort(j) {
		needed = m.all
	}
	domains := m.votesByDomain(func(home string) domainVotes {
		return domainVotes{
			votes: j.answers[home].votes,
			at:    j.answers[home].sentAt,
		}
	})
	slices.SortFunc(domains, func(a, b domainVotes) int { return b.at.Compare(a.at) })
	for i, v := range domains {
		if hasVotes(domains[:i+1], needed) {
			return v.at
		}
	}
	return time.Time{}
}

// recordMajority records since when this home can't have a majority, or all votes, for any job.
// A home that hasn't answered lately may still vote for it.
func (m *Model) recordMajority(now time.Time) {
	possible := m.votesByDomain(func(home string) domainVotes {
		if since, ok := m.unansweredSince[home]; ok && now.Sub(since) >= m.limits.MajorityWait {
			return domainVotes{}
		}
		if votes, ok := m.homeVotes[home]; ok && now.Sub(m.heardAt[home]) < m.limits.MajorityWait {
			return domainVotes{votes: votes}
		}
		return domainVotes{votes: math.MaxInt32}
	})
	m.noMajoritySince = since(now, m.noMajoritySince, !m.isMajority(possible))
	m.notAllSince = since(now, m.notAllSince, !hasVotes(possible, m.all))
}

// since returns when a condition began that is known to hold since a time, or the zero time.
func since(now, known time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case known.IsZero():
		return now
	}
	return known
}

// lacksMajority reports whether this home hasn't been able to have a majority for longer than
// silent homes stay in its plan.
func (m *Model) lacksMajority(now time.Time) bool { return m.lacksVotes(now, m.noMajoritySince) }

// lacksVotes reports whether votes that could not be had since a time, unless it is zero, are
// lacking for longer than silent homes stay in the plan.
func (m *Model) lacksVotes(now, since time.Time) bool {
	wait := m.limits.MajorityWait
	return wait > 0 && m.limits.AnnouncementTTL > 0 && !since.IsZero() && now.Sub(since) >= wait
}

// withoutMajority returns the outcome of a job that can't be run here, as too few hosts
// vote for this home: a job that may run elsewhere, and one that couldn't end
// while its caller can't have submitted it elsewhere.
func (m *Model) withoutMajority(now time.Time, j *job) (outcome work.Outcome, ok bool) {
	if j.running() || (j.started && m.isConfirmed(now, j)) {
		return work.Outcome{}, false
	}
	unstartable := m.seemsShort(j) && m.lacksVotes(now, m.notAllSince) && !m.isConfirmed(now, j)
	switch {
	case !unstartable && !m.lacksMajority(now):
		return work.Outcome{}, false
	case j.started || !m.isFirst(now, j):
		return work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonMajority,
		}, true
	case unstartable || now.Add(j.criticalPath()).After(j.Received.Add(m.limits.MaxUnconfirmed)):
		return work.Outcome{
			State:      work.Refused,
			Reason:     core.ReasonMajority,
			RetryAfter: majorityRetryAfter,
		}, true
	}
	return work.Outcome{}, false
}

// majorityRetryAfter is the delay that a caller is told to wait for a home with a majority.
const majorityRetryAfter = time.Second
