package owner

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// View is what a host knows when it chooses homes and owners.
type View struct {
	Hosts   []member.Host    // that are heard, this one included
	Known   []listing.Host   // that write their rows in the store
	Servers []listing.Server // of one service
	PerHome int              // most backend servers that one home should hold
	PerCore int              // most backend servers for each core that homes have
}

// Homes returns the homes of a failure domain: its strongest hosts, and the
// oldest among equals, as many as its servers need. A domain without hosts has
// none.
func (v View) Homes(domain string) []member.Host {
	var hosts []member.Host
	for _, h := range v.Hosts {
		if h.Domain == domain && !h.Stopping {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, fitter)
	servers := 0
	for _, s := range v.Servers {
		if s.Domain == domain {
			servers++
		}
	}
	for count := 1; count < len(hosts); count++ {
		if v.suffice(hosts[:count], servers) {
			return hosts[:count]
		}
	}
	return hosts
}

// thousandths of a core make one.
const thousandths = 1000

// suffice reports whether homes can hold a number of backend servers. Processors
// that aren't known count as strong enough.
func (v View) suffice(homes []member.Host, servers int) bool {
	cores := 0
	for _, h := range homes {
		if h.Cores == 0 {
			return len(homes)*v.PerHome >= servers
		}
		cores += h.Cores
	}
	return len(homes)*v.PerHome >= servers && cores*v.PerCore >= servers*thousandths
}

func fitter(a, b member.Host) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Born, b.Born), cmp.Compare(a.Address, b.Address))
}

// All returns the homes of every failure domain that has hosts.
func (v View) All() []member.Host {
	var homes []member.Host
	seen := map[string]bool{}
	for _, h := range v.Hosts {
		if !seen[h.Domain] {
			seen[h.Domain] = true
			homes = append(homes, v.Homes(h.Domain)...)
		}
	}
	slices.SortFunc(homes, func(a, b member.Host) int { return cmp.Compare(a.Address, b.Address) })
	return homes
}

// Coordinators returns the hosts that may have jobs: the homes, and those that
// stop, which still end what they took.
func (v View) Coordinators() []member.Host {
	hosts := v.All()
	for _, h := range v.Hosts {
		if h.Stopping {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// owners chooses owners with the homes of each failure domain computed once.
type owners struct {
	view  View
	homes map[string][]member.Host
	all   []member.Host
}

func (v View) owners() owners {
	return owners{
		view:  v,
		homes: map[string][]member.Host{},
		all:   v.All(),
	}
}

// of returns the host that should hold a backend server: a home of its own
// failure domain, or of any when that has no hosts.
func (o owners) of(s listing.Server) (member.Host, bool) {
	homes, known := o.homes[s.Domain]
	if !known {
		homes = o.view.Homes(s.Domain)
		o.homes[s.Domain] = homes
	}
	if len(homes) == 0 {
		homes = o.all
	}
	return pick(s.ID, homes)
}

// Home returns the home that coordinates a job, for a host of a failure domain.
func (v View) Home(job, domain string) (member.Host, bool) {
	homes := v.Homes(domain)
	if len(homes) == 0 {
		homes = v.All()
	}
	return pick(job, homes)
}

// pick chooses a host by rendezvous hashing, each as often as its processor is
// strong.
func pick(key string, hosts []member.Host) (member.Host, bool) {
	var best member.Host
	var least float64
	for i, h := range hosts {
		score := drawOf(key, h.Address) / float64(max(1, h.Cores))
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

// Isolated reports whether a host hears fewer than half of the hosts that are
// known to live, itself included. Such a host is more likely cut off than the
// others are dead, and must not take over what they hold.
func (v View) Isolated() bool {
	known := map[string]bool{}
	for _, h := range v.Hosts {
		known[h.Address] = true
	}
	heard := len(known)
	for _, h := range v.Known {
		known[h.Address] = true
	}
	return 2*heard < len(known)
}

// lives reports whether the store shows a host of a failure domain alive.
func (v View) lives(domain string) bool {
	for _, h := range v.Known {
		if h.Domain == domain {
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
	isolated, owners := v.Isolated(), v.owners()
	var mine []listing.Server
	for _, s := range v.Servers {
		owner, ok := owners.of(s)
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
