package home

import (
	"github.com/cespare/xxhash/v2"

	"rosemarywalk/core/member"
)

// Choose returns the home of a service for one host, given the live hosts.
// Rendezvous hashing moves only the services of a host that comes or goes.
func Choose(s Scope, service string, self member.Host, live []member.Host) member.Host {
	best, found := self, false
	var most uint64
	for _, h := range live {
		if h.Stopping || group(s, h) != group(s, self) {
			continue
		}
		score := xxhash.Sum64String(service + "\x00" + h.Address)
		if !found || score > most || (score == most && h.Address < best.Address) {
			best, most, found = h, score, true
		}
	}
	return best
}

// Count returns how many homes a service has, given the live hosts.
func Count(s Scope, live []member.Host) int {
	groups := map[string]bool{}
	for _, h := range live {
		if !h.Stopping {
			groups[group(s, h)] = true
		}
	}
	return max(1, len(groups))
}

// The parts of a backend server's connections. Homes get most, halved because
// an old and a new home may both hold theirs while a home moves.
const (
	homePart    = 0.75
	othersPart  = 0.25
	homesAtOnce = 2
)

// ConnectionShare returns a host's part of the connections of each backend server, so
// that all parts together stay within the whole; hosts is the most that run.
func ConnectionShare(s Scope, isHome bool, homes, hosts int) float64 {
	if _, every := s.(Host); every {
		return 1 / float64(hosts)
	}
	if isHome {
		return homePart / float64(homesAtOnce*homes)
	}
	return othersPart / float64(hosts)
}
