package owner

import (
	"cmp"
	"slices"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// Plan holds the homes selected from a view, computed once for many look-ups.
type Plan struct {
	homes    map[string][]member.Host // by failure domain
	all      []member.Host            // by peer address
	stopping []member.Host
}

// Plan selects the homes of each failure domain that has hosts.
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
		p.homes[domain] = v.selectHomes(hosts, servers[domain])
		p.all = append(p.all, p.homes[domain]...)
	}
	slices.SortFunc(p.all, func(a, b member.Host) int { return cmp.Compare(a.Address, b.Address) })
	return p
}

// selectHomes returns the shortest prefix of hosts, sorted by fitness, that can own a
// number of backend servers, or all hosts if none can. Hosts that are as strong as the last one
// of these join it until the homes have processor time in reserve, as they may be slowed down;
// weaker ones would add little and make placement worse.
func (v View) selectHomes(hosts []member.Host, servers int) []member.Host {
	count := 1
	for count < len(hosts) && !v.hasCapacity(hosts[:count], servers) {
		count++
	}
	for weakest := hosts[count-1]; count < len(hosts) && isAsStrong(hosts[count], weakest) && !hasCores(hosts[:count], servers, v.TargetPerCore); {
		count++
	}
	return hosts[:count]
}

// isAsStrong reports whether a host has about as many cores as another one.
func isAsStrong(h, other member.Host) bool {
	const most, all = 9, 10
	return all*h.CPU >= most*other.CPU
}

// Homes returns the homes of a failure domain: as many of its hosts as its servers
// need, those with the most cores first and the longest uptime among equals. A
// domain without hosts has none.
func (p Plan) Homes(domain string) []member.Host { return p.homes[domain] }

// AllHomes returns the homes of all failure domains, sorted by peer address.
func (p Plan) AllHomes() []member.Host { return p.all }

// isHome reports whether the host at an address is a home. No other host owns servers.
func (p Plan) isHome(address string) bool {
	return slices.ContainsFunc(p.all, func(h member.Host) bool { return h.Address == address })
}

// Home returns the home that coordinates a job submitted in a failure domain.
func (p Plan) Home(job, domain string) (member.Host, bool) {
	return pickWeighted(job, p.homesOrAll(domain))
}

// Owner returns the host that should own a backend server: a home of the server's
// failure domain, or any home if that domain has no hosts.
func (p Plan) Owner(s listing.Server) (member.Host, bool) {
	return pickWeighted(s.ID, p.homesOrAll(s.Domain))
}

func (p Plan) homesOrAll(domain string) []member.Host {
	if homes := p.homes[domain]; len(homes) > 0 {
		return homes
	}
	return p.all
}

// Partners returns the hosts with which a home shares capacity: the other homes of
// its failure domain, in each other domain those at the same position, and the hosts
// that are shutting down. This way the number of messages per home grows with the
// number of domains and not with the number of all homes.
func (p Plan) Partners(self member.Host) []member.Host {
	partners := slices.Clone(p.stopping)
	for domain, homes := range p.homes {
		for i, h := range homes {
			if domain == self.Domain || samePosition(p.homes[self.Domain], self.Address, homes, i) {
				partners = append(partners, h)
			}
		}
	}
	partners = slices.DeleteFunc(partners, func(h member.Host) bool { return h.Address == self.Address })
	slices.SortFunc(partners, func(a, b member.Host) int { return cmp.Compare(a.Address, b.Address) })
	return partners
}

// samePosition reports whether two homes of different failure domains have the same
// position, modulo the size of the smaller domain. A host that is not a home, such as
// one that is shutting down, matches every home.
func samePosition(homes []member.Host, address string, others []member.Host, other int) bool {
	position := slices.IndexFunc(homes, func(h member.Host) bool { return h.Address == address })
	cycle := min(len(homes), len(others))
	return position < 0 || position%cycle == other%cycle
}
