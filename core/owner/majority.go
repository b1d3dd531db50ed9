package owner

import "rosemarywalk/core/member"

// Votes of hosts in majorities. The one with the first address has one more, so that two halves
// never have as many.
const (
	HostVotes  = 2 // of a host
	firstVotes = 3
)

// voter is a host of the failure domain whose votes are counted.
type voter struct {
	heard   bool // heartbeats arrive from it, and it takes no other host as the first home
	current bool // its row is
}

// HeardVotes returns the votes of the hosts of a failure domain from which heartbeats arrive
// and whose rows are current. A host whose own row isn't, so that others may go on without it,
// has them only if it hears all hosts of the failure domain. Hosts that say that they take another
// host as its first home have none: two homes that don't hear each other may both hear them.
func (v View) HeardVotes(domain string) int {
	voters := map[string]voter{}
	for _, h := range v.Electorate {
		if h.Domain == domain {
			voters[h.Address] = voter{}
		}
	}
	home := member.FirstHome(v.Hosts, domain)
	for _, h := range v.Hosts {
		if voter, ok := voters[h.Address]; ok {
			voter.heard = h.FirstHome == "" || home == "" || h.FirstHome == home
			voters[h.Address] = voter
		}
	}
	for _, h := range v.Current {
		if voter, ok := voters[h.Address]; ok {
			voter.current = true
			voters[h.Address] = voter
		}
	}
	votes := 0
	first := v.firstElector()
	for _, h := range v.Electorate {
		switch {
		case h.Domain != domain:
		case !voters[h.Address].heard || !voters[h.Address].current:
			if v.Unlisted {
				return 0
			}
		case h.Address == first:
			votes += firstVotes
		default:
			votes += HostVotes
		}
	}
	return votes
}

func (v View) firstElector() string {
	first := ""
	for i, h := range v.Electorate {
		if i == 0 || h.Address < first {
			first = h.Address
		}
	}
	return first
}

// AllVotes returns the votes of all hosts, or 0 if the hosts are unknown.
func (v View) AllVotes() int {
	if len(v.Electorate) == 0 {
		return 0
	}
	return HostVotes*len(v.Electorate) + firstVotes - HostVotes
}

// NeededVotes returns how many votes a home must have so that no other one has as many: those
// of more than half of all hosts, or of all for a host that others may not count. It returns
// 0 if the hosts are unknown.
func (v View) NeededVotes() int {
	hosts := len(v.Electorate)
	switch {
	case hosts == 0:
		return 0
	case v.Unlisted:
		return v.AllVotes()
	}
	return hosts + 1
}
