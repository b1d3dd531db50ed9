package owner

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// View is the input of the selection as one host sees it.
type View struct {
	Hosts             []member.Host    // hosts with recent heartbeats, this one included
	Listed            []listing.Host   // hosts whose rows in the store are current
	Servers           []listing.Server // of one service
	MaxServersPerHome int              // maximum backend servers per home
	MaxServersPerCore int              // maximum backend servers per core of the homes
	TargetPerCore     int              // backend servers per core up to which the homes have processor time in reserve
	Electorate        []listing.Host   // hosts that count for majorities, one for each address: those whose rows in the store moved not long ago; empty if never read
	Current           []listing.Host   // those of them that can vote for a home: others may not count the rest any more
	Unlisted          bool             // the own row has not moved for so long that others may not count this host
}

const millicoresPerCore = 1000

// hasCapacity reports whether homes can own a number of backend servers. If a host's
// core count is unknown, only the limit per home applies.
func (v View) hasCapacity(homes []member.Host, servers int) bool {
	return len(homes)*v.MaxServersPerHome >= servers && hasCores(homes, servers, v.MaxServersPerCore)
}

// hasCores reports whether homes have a core for each perCore backend servers, or the core
// count of one is unknown.
func hasCores(homes []member.Host, servers, perCore int) bool {
	cores := 0
	for _, h := range homes {
		if h.CPU == 0 {
			return true
		}
		cores += h.CPU
	}
	return cores*perCore >= servers*millicoresPerCore
}

// pickWeighted selects a host for a key by rendezvous hashing, weighted by cores.
func pickWeighted(key string, hosts []member.Host) (member.Host, bool) {
	if len(hosts) == 1 {
		return hosts[0], true
	}
	var best member.Host
	var lowest float64
	for i, h := range hosts {
		score := exponentialScore(key, h.Address) / float64(max(1, h.CPU))
		if i == 0 || score < lowest {
			best, lowest = h, score
		}
	}
	return best, len(hosts) > 0
}

// exponentialScore hashes a key and a host to an exponentially distributed number.
// Of such numbers, each divided by a weight, the smallest belongs to a host with a
// probability proportional to its weight.
func exponentialScore(key, address string) float64 {
	const (
		mantissaBits = 53 // of a float64
		droppedBits  = 64 - mantissaBits
	)
	hash := xxhash.Sum64String(key + "\x00" + address)
	return -math.Log((float64(hash>>droppedBits) + 1) / (1 << mantissaBits))
}

// Claims holds the IDs of the backend servers that each host reports to own.
type Claims map[string][]string // by peer address

// Isolated reports whether a host receives heartbeats from fewer than half of the
// peers that it expects: each listed host of its own failure domain, itself included,
// and each other failure domain counted as one, since not all hosts of those send to
// it. Such a host is more likely partitioned from the others than the others are
// dead, and must not take over their servers.
func (v View) Isolated(domain string) bool {
	heardByUnit := map[string]bool{}
	for _, h := range v.Listed {
		heardByUnit[domainOrAddress(h.Domain, h.Address, domain)] = false
	}
	for _, h := range v.Hosts {
		heardByUnit[domainOrAddress(h.Domain, h.Address, domain)] = true
	}
	heardCount := 0
	for _, heard := range heardByUnit {
		if heard {
			heardCount++
		}
	}
	return 2*heardCount < len(heardByUnit)
}

// domainOrAddress returns the address of a host of the own failure domain, and the
// name of any other failure domain.
func domainOrAddress(domain, address, own string) string {
	if domain == own {
		return address
	}
	return domain
}

// ReceivesFromAll reports whether heartbeats arrive from all hosts of a failure domain that
// are alive according to the store.
func (v View) ReceivesFromAll(domain string) bool {
	alive := map[string]bool{}
	for _, h := range v.Hosts {
		alive[h.Address] = true
	}
	for _, h := range v.Listed {
		if h.Domain == domain && !alive[h.Address] {
			return false
		}
	}
	return true
}

// isDomainAlive reports whether, according to the store, a failure domain has a live
// host that has not announced its shutdown.
func (v View) isDomainAlive(domain string) bool {
	stopping := map[string]bool{}
	for _, h := range v.Hosts {
		stopping[h.Address] = h.Stopping
	}
	for _, h := range v.Listed {
		if h.Domain == domain && !stopping[h.Address] {
			return true
		}
	}
	return false
}

// AssignedServers returns the servers that a host should own: those assigned to it, except
// the ones that another live host still claims. A server that the host already owns is
// not released because of a claim; the fencing token resolves the conflict. An
// isolated host takes no new servers, and no host takes servers of another failure
// domain that is alive but sends no heartbeats.
func (v View) AssignedServers(self member.Host, owned []string, claims Claims) []listing.Server {
	plan := v.Plan()
	if !plan.isHome(self.Address) {
		return nil
	}
	claimed := map[string]bool{}
	for _, h := range v.Hosts {
		if h.Address == self.Address {
			continue
		}
		for _, id := range claims[h.Address] {
			claimed[id] = true
		}
	}
	isolated := v.Isolated(self.Domain)
	var assigned []listing.Server
	for _, s := range v.Servers {
		owner, ok := plan.Owner(s)
		if !ok || owner.Address != self.Address {
			continue
		}
		foreignAlive := s.Domain != self.Domain && v.isDomainAlive(s.Domain)
		if slices.Contains(owned, s.ID) || !(claimed[s.ID] || isolated || foreignAlive) {
			assigned = append(assigned, s)
		}
	}
	return assigned
}
