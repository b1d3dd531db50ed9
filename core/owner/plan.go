package owner

import (
	"cmp"
	"slices"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// Plan is the homes that a view leads to, chosen once for any number of questions.
type Plan struct {
	homes    map[string][]member.Host // by failure domain
	all      []member.Host            // by peer address
	stopping []member.Host
}

// Plan chooses the homes of every failure domain that has hosts.
func (v View) Plan() Plan {
	servers := map[string]int{}
	for _, s := range v.Servers {
		servers[s.Domain]++
	}
	p := Plan{homes: map[string][]member.Host{}}
	hosts := map[string][]member.Host{}
	for _, h := range v.Hosts {
		if h.Stopping {
			p.stopping = append(p.stopping, h)
			continue
		}
		hosts[h.Domain] = append(hosts[h.Domain], h)
	}
	for domain, hosts := range hosts {
		slices.SortFunc(hosts, member.CompareFitness)
		p.homes[domain] = v.enough(hosts, servers[domain])
		p.all = append(p.all, p.homes[domain]...)
	}
	slices.SortFunc(p.all, func(a, b member.Host) int { return cmp.Compare(a.Address, b.Address) })
	return p
}

// enough returns as many of the fittest hosts as a number of backend servers needs.
func (v View) enough(hosts []member.Host, servers int) []member.Host {
	for count := 1; count < len(hosts); count++ {
		if v.suffice(hosts[:count], servers) {
			return hosts[:count]
		}
	}
	return hosts
}

// Homes returns the homes of a failure domain: its strongest hosts, and the
// oldest among equals, as many as its servers need. A domain without hosts has
// none.
func (p Plan) Homes(domain string) []member.Host { return p.homes[domain] }

// Home returns the home that coordinates a job, for a host of a failure domain.
func (p Plan) Home(job, domain string) (member.Host, bool) { return pick(job, p.of(domain)) }

// Owner returns the host that should hold a backend server: a home of its own
// failure domain, or of any when that has no hosts.
func (p Plan) Owner(s listing.Server) (member.Host, bool) { return pick(s.ID, p.of(s.Domain)) }

func (p Plan) of(domain string) []member.Host {
	if homes := p.homes[domain]; len(homes) > 0 {
		return homes
	}
	return p.all
}

// Partners returns the hosts that a home lends room to: those of its own failure
// domain, of each other one the home with the same place, and those that stop.
// So a home's messages grow with the number of domains, and not with all homes.
func (p Plan) Partners(self member.Host) []member.Host {
	partners := slices.Clone(p.stopping)
	for domain, homes := range p.homes {
		for i, h := range homes {
			if domain == self.Domain || pairs(p.homes[self.Domain], self.Address, homes, i) {
				partners = append(partners, h)
			}
		}
	}
	partners = slices.DeleteFunc(partners, func(h member.Host) bool { return h.Address == self.Address })
	slices.SortFunc(partners, func(a, b member.Host) int { return cmp.Compare(a.Address, b.Address) })
	return partners
}

// pairs reports whether a home of one failure domain and one of another have the
// same place, where the places of the smaller domain repeat. A host that is no home,
// as one that stops, pairs with all.
func pairs(homes []member.Host, address string, others []member.Host, other int) bool {
	place := slices.IndexFunc(homes, func(h member.Host) bool { return h.Address == address })
	least := min(len(homes), len(others))
	return place < 0 || place%least == other%least
}
