package home

import (
	"github.com/cespare/xxhash/v2"

	"rosemarywalk/core/member"
)

// Choose returns the home of a service for the host self, given the live hosts.
// Rendezvous hashing ensures that a host that joins or leaves moves only the
// services that it gains or gives up.
func Choose(s Scope, service string, self member.Host, live []member.Host) member.Host {
	best, found := self, false
	var bestScore uint64
	for _, h := range live {
		if h.Stopping || group(s, h) != group(s, self) {
			continue
		}
		score := xxhash.Sum64String(service + "\x00" + h.Address)
		if !found || score > bestScore || (score == bestScore && h.Address < best.Address) {
			best, bestScore, found = h, score, true
		}
	}
	return best
}

// Count returns the number of homes per service, given the live hosts.
func Count(s Scope, live []member.Host) int {
	groups := map[string]bool{}
	for _, h := range live {
		if !h.Stopping {
			groups[group(s, h)] = true
		}
	}
	return max(1, len(groups))
}

// Shares of a backend server's connections. Homes get most of them. Their share
// is divided by homesAtOnce because the old and the new home may both hold
// connections while a home moves.
const (
	homePart    = 0.75
	othersPart  = 0.25
	homesAtOnce = 2
)

// ConnectionShare returns a host's share of the connections of each backend server, such
// that the shares of all hosts add up to at most 1. hosts is the largest number
// of hosts that run.
func ConnectionShare(s Scope, isHome bool, homes, hosts int) float64 {
	if _, every := s.(Host); every {
		return 1 / float64(hosts)
	}
	if isHome {
		return homePart / float64(homesAtOnce*homes)
	}
	return othersPart / float64(hosts)
}
