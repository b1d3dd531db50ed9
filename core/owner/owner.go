package owner

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// View is what a host knows when it chooses homes and owners.
type View struct {
	Hosts             []member.Host    // that are heard, this one included
	Listed            []listing.Host   // that write their rows in the store
	Servers           []listing.Server // of one service
	MaxServersPerHome int              // most backend servers that one home should hold
	MaxServersPerCore int              // most backend servers for each core that homes have
}

// thousandths of a core make one.
const thousandths = 1000

// suffice reports whether homes can hold a number of backend servers. Processors
// that aren't known count as strong enough.
func (v View) suffice(homes []member.Host, servers int) bool {
	cores := 0
	for _, h := range homes {
		if h.CPU == 0 {
			return len(homes)*v.MaxServersPerHome >= servers
		}
		cores += h.CPU
	}
	return len(homes)*v.MaxServersPerHome >= servers && cores*v.MaxServersPerCore >= servers*thousandths
}

// pick chooses a host by rendezvous hashing, each as often as its processor is
// strong.
func pick(key string, hosts []member.Host) (member.Host, bool) {
	var best member.Host
	var least float64
	for i, h := range hosts {
		score := drawOf(key, h.Address) / float64(max(1, h.CPU))
		if i == 0 || score < least {
			best, least = h, score
		}
	}
	return best, len(hosts) > 0
}

// drawOf returns an exponentially distributed number that only depends on a key
// and a host.
func drawOf(key, address string) float64 {
	const (
		fraction = 53 // bits
		spare    = 64 - fraction
	)
	hash := xxhash.Sum64String(key + "\x00" + address)
	return -math.Log((float64(hash>>spare) + 1) / (1 << fraction))
}

// Claims is which hosts say that they hold which backend servers.
type Claims map[string][]string // by peer address

// Isolated reports whether a host hears fewer than half of what it should: the
// hosts of its own failure domain that are known to live, itself included, and each
// other failure domain as one, as hosts don't hear all of those. Such a host is more
// likely cut off than the others are dead, and must not take over what they hold.
func (v View) Isolated(domain string) bool {
	known := map[string]bool{}
	for _, h := range v.Listed {
		known[unit(h.Domain, h.Address, domain)] = false
	}
	for _, h := range v.Hosts {
		known[unit(h.Domain, h.Address, domain)] = true
	}
	heard := 0
	for _, is := range known {
		if is {
			heard++
		}
	}
	return 2*heard < len(known)
}

// unit names a host of the own failure domain, or another failure domain.
func unit(domain, address, own string) string {
	if domain == own {
		return address
	}
	return domain
}

// Complete reports whether all hosts of a failure domain that the store shows alive
// are heard.
func (v View) Complete(domain string) bool {
	heard := map[string]bool{}
	for _, h := range v.Hosts {
		heard[h.Address] = true
	}
	for _, h := range v.Listed {
		if h.Domain == domain && !heard[h.Address] {
			return false
		}
	}
	return true
}

// lives reports whether the store shows a host of a failure domain alive that hasn't
// said that it stops.
func (v View) lives(domain string) bool {
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

// Mine returns the servers that a host should hold: those that it owns, less
// the ones that another live host still claims. A server that the host holds
// already is not given up for a claim; its fencing token decides. Nothing new
// is taken by an isolated host, nor from a failure domain that lives but isn't
// heard.
func (v View) Mine(self member.Host, held []string, claims Claims) []listing.Server {
	claimed := map[string]bool{}
	for _, h := range v.Hosts {
		if h.Address == self.Address {
			continue
		}
		for _, id := range claims[h.Address] {
			claimed[id] = true
		}
	}
	isolated, plan := v.Isolated(self.Domain), v.Plan()
	var mine []listing.Server
	for _, s := range v.Servers {
		owner, ok := plan.Owner(s)
		if !ok || owner.Address != self.Address {
			continue
		}
		foreign := s.Domain != self.Domain && v.lives(s.Domain)
		if slices.Contains(held, s.ID) || !(claimed[s.ID] || isolated || foreign) {
			mine = append(mine, s)
		}
	}
	return mine
}
