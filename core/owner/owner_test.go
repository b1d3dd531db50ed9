package owner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// fleet returns hosts in domains of three, in order of their start times.
func fleet(n int) []member.Host {
	var hosts []member.Host
	for i := range n {
		hosts = append(hosts, member.Host{
			Address:         fmt.Sprintf("10.0.0.%d:7100", i),
			Domain:          fmt.Sprintf("domain-%d", i/3),
			StartedAtMillis: int64(100 + i),
		})
	}
	return hosts
}

func servers(n int) []listing.Server {
	var all []listing.Server
	for i := range n {
		all = append(all, listing.Server{
			ID:     fmt.Sprintf("server-%d", i),
			Domain: fmt.Sprintf("domain-%d", i%3),
		})
	}
	return all
}

// TestEveryServerHasOneOwner checks that hosts with the same view assign each server
// to exactly one host, in the server's failure domain if that has a host.
func TestEveryServerHasOneOwner(t *testing.T) {
	tests := []struct {
		name    string
		change  func([]member.Host) []member.Host
		perHome int
		owners  int
	}{
		{
			name:    "one home per domain",
			perHome: 100,
			owners:  3,
		},
		{
			name:    "two homes per domain",
			perHome: 5,
			owners:  6,
		},
		{
			name:    "a domain without hosts",
			change:  func(h []member.Host) []member.Host { return h[3:] },
			perHome: 100,
			owners:  2,
		},
		{
			name: "a host is shutting down",
			change: func(h []member.Host) []member.Host {
				h[0].Stopping = true
				return h
			},
			perHome: 100,
			owners:  3,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := fleet(9)
			if test.change != nil {
				hosts = test.change(hosts)
			}
			v := View{
				Hosts:             hosts,
				Servers:           servers(30),
				MaxServersPerHome: test.perHome,
			}
			owners := map[string]bool{}
			assignedCount := 0
			for _, h := range hosts {
				assigned := v.AssignedServers(h, nil, nil)
				assignedCount += len(assigned)
				if len(assigned) > 0 {
					owners[h.Address] = true
				}
			}
			assert.Equal(t, assignedCount, 30)
			assert.Equal(t, len(owners), test.owners)
		})
	}
}

// TestRestartKeepsHomes checks that a restarted host does not displace the home that
// replaced it.
func TestRestartKeepsHomes(t *testing.T) {
	v := View{
		Hosts:             fleet(9),
		Servers:           servers(30),
		MaxServersPerHome: 100,
	}
	v.Hosts[0].StartedAtMillis = 1000
	home, ok := v.Plan().Home("job", "domain-0")
	assert.Assert(t, ok)
	assert.Equal(t, home.Address, v.Hosts[1].Address)
}

// TestClaims checks that a server claimed by another live host is not taken until that
// host is gone, and that a server which this host already owns stays assigned to it.
func TestClaims(t *testing.T) {
	v := View{
		Hosts:             fleet(3),
		Servers:           servers(1),
		MaxServersPerHome: 100,
	}
	self, other := v.Hosts[0], v.Hosts[1].Address
	claims := Claims{other: {"server-0"}}
	assert.Equal(t, len(v.AssignedServers(self, nil, claims)), 0)
	assert.Equal(t, len(v.AssignedServers(self, []string{"server-0"}, claims)), 1)
	v.Hosts = v.Hosts[:1]
	assert.Equal(t, len(v.AssignedServers(self, nil, claims)), 1)
}

// TestIsolated checks that a host which receives heartbeats from fewer than half of
// its peers takes over no servers and keeps those that it owns, and that other hosts
// take over servers only within their own failure domain while a silent domain is
// listed as alive.
func TestIsolated(t *testing.T) {
	var listed []listing.Host
	for _, h := range fleet(9) {
		listed = append(listed, listing.Host{
			Address: h.Address,
			Domain:  h.Domain,
		})
	}
	tests := []struct {
		name   string
		heard  []member.Host
		listed []listing.Host
		owned  []string
		want   int
	}{
		{
			name:   "hears all",
			heard:  fleet(9),
			listed: listed,
			want:   10,
		},
		{
			name:   "hears nobody",
			heard:  fleet(1),
			listed: listed,
		},
		{
			name:   "hears nobody, holds one",
			heard:  fleet(1),
			listed: listed,
			owned:  []string{"server-0"},
			want:   1,
		},
		{
			name:   "one failure domain is silent",
			heard:  fleet(6),
			listed: listed,
			want:   10,
		},
		{
			name:   "one failure domain is dead",
			heard:  fleet(6),
			listed: listed[:6],
			want:   15,
		},
		{
			name:   "all others are dead",
			heard:  fleet(1),
			listed: listed[:1],
			want:   30,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := View{
				Hosts:             test.heard,
				Listed:            test.listed,
				Servers:           servers(30),
				MaxServersPerHome: 100,
			}
			assert.Equal(t, len(v.AssignedServers(test.heard[0], test.owned, nil)), test.want)
		})
	}
}

// TestComplete checks that a starting host can determine whether it receives heartbeats
// from all of its failure domain.
func TestComplete(t *testing.T) {
	hosts := fleet(6)
	tests := []struct {
		name  string
		heard []member.Host
		want  bool
	}{
		{
			name: "nobody is listed",
			want: true,
		},
		{
			name:  "all are heard",
			heard: hosts[:2],
			want:  true,
		},
		{
			name:  "one isn't heard",
			heard: hosts[:3],
		},
		{
			name:  "one of another failure domain isn't heard",
			heard: hosts[3:],
			want:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := View{Hosts: hosts[:2]}
			for _, h := range test.heard {
				v.Listed = append(v.Listed, listing.Host{
					Address: h.Address,
					Domain:  h.Domain,
				})
			}
			assert.Equal(t, v.ReceivesFromAll(hosts[0].Domain), test.want)
		})
	}
}

// TestLastHostStops checks that during a graceful shutdown of the last host of a
// failure domain, hosts of other domains take over its servers only after it has
// released them.
func TestLastHostStops(t *testing.T) {
	tests := []struct {
		name  string
		stops bool
		claim bool
		want  int // servers that hosts of the other domain take
	}{
		{
			name: "it goes on",
		},
		{
			name:  "it stops and still holds its server",
			stops: true,
			claim: true,
		},
		{
			name:  "it stops and has let its server go",
			stops: true,
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := []member.Host{
				{
					Address: "a:1",
					Domain:  "domain-0",
				},
				{
					Address:  "b:1",
					Domain:   "domain-1",
					Stopping: test.stops,
				},
			}
			v := View{
				Hosts: hosts,
				Servers: []listing.Server{{
					ID:     "s",
					Domain: "domain-1",
				}},
				MaxServersPerHome: 100,
			}
			for _, h := range hosts {
				v.Listed = append(v.Listed, listing.Host{
					Address: h.Address,
					Domain:  h.Domain,
				})
			}
			claims := Claims{}
			if test.claim {
				claims["b:1"] = []string{"s"}
			}
			assert.Equal(t, len(v.AssignedServers(hosts[0], nil, claims)), test.want)
		})
	}
}

// TestPartners checks that a home shares capacity with the homes of its own failure
// domain, with one of each other domain, and with hosts that are shutting down, whose
// jobs still run, and that the relation is symmetric.
func TestPartners(t *testing.T) {
	tests := []struct {
		name    string
		hosts   int
		perHome int
		stops   bool // the first host of the second failure domain
		want    int  // number of partners of the first home
	}{
		{
			name:    "one home in each of six domains",
			hosts:   18,
			perHome: 100,
			want:    5,
		},
		{
			name:    "two homes in each of three domains",
			hosts:   9,
			perHome: 5,
			want:    3,
		},
		{
			name:    "a host is shutting down",
			hosts:   9,
			perHome: 100,
			stops:   true,
			want:    3,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := View{
				Hosts:             fleet(test.hosts),
				Servers:           servers(30),
				MaxServersPerHome: test.perHome,
			}
			v.Hosts[3].Stopping = test.stops
			plan := v.Plan()
			partners := map[string][]string{}
			for _, h := range v.Hosts {
				for _, p := range plan.Partners(h) {
					partners[h.Address] = append(partners[h.Address], p.Address)
				}
			}
			first := v.Hosts[0].Address
			assert.Equal(t, len(partners[first]), test.want, partners[first])
			for _, p := range partners[first] {
				assert.Assert(t, slices.Contains(partners[p], first), "%s does not have the first home as a partner", p)
			}
			assert.Assert(t, slices.Contains(partners[first], v.Hosts[3].Address))
		})
	}
}

// TestAllHomes checks that each home of each failure domain is listed once, and no host that
// is shutting down.
func TestAllHomes(t *testing.T) {
	tests := []struct {
		name    string
		perHome int
		stops   bool // the first host
		want    int
	}{
		{
			name:    "one home in each of three domains",
			perHome: 100,
			want:    3,
		},
		{
			name:    "two homes in each of three domains",
			perHome: 5,
			want:    6,
		},
		{
			name:    "a host is shutting down",
			perHome: 100,
			stops:   true,
			want:    3,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := View{
				Hosts:             fleet(9),
				Servers:           servers(30),
				MaxServersPerHome: test.perHome,
			}
			v.Hosts[0].Stopping = test.stops
			plan := v.Plan()
			homes := plan.AllHomes()
			assert.Equal(t, len(homes), test.want)
			assert.Equal(t, slices.Contains(homes, v.Hosts[0]), !test.stops)
			for i := range 3 {
				for _, h := range plan.Homes(fmt.Sprint("domain-", i)) {
					assert.Assert(t, slices.Contains(homes, h))
				}
			}
		})
	}
}

// TestHomeWithoutReserve guards against a failure domain whose only home needs all of its processor
// time, beside idle hosts that are as strong.
func TestHomeWithoutReserve(t *testing.T) {
	tests := []struct {
		name    string
		cpu     []int // of the hosts
		servers int
		homes   int
	}{
		{
			name:    "one host has a reserve",
			cpu:     []int{800, 800, 800, 192},
			servers: 48,
			homes:   1,
		},
		{
			name:    "two hosts have a reserve",
			cpu:     []int{800, 800, 800, 192},
			servers: 90,
			homes:   2,
		},
		{
			name:    "two hosts that are nearly as strong have a reserve",
			cpu:     []int{800, 799, 760, 192},
			servers: 90,
			homes:   2,
		},
		{
			name:    "weaker hosts don't join",
			cpu:     []int{800, 192, 192, 192},
			servers: 90,
			homes:   1,
		},
		{
			name:    "weak hosts only",
			cpu:     []int{192, 192, 192, 192, 192, 192},
			servers: 60,
			homes:   6,
		},
		{
			name:    "processors unknown",
			cpu:     []int{0, 0, 0},
			servers: 90,
			homes:   1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := View{
				MaxServersPerHome: 100,
				MaxServersPerCore: 150,
				TargetPerCore:     60,
			}
			for i, cpu := range test.cpu {
				view.Hosts = append(view.Hosts, member.Host{
					Address: fmt.Sprintf("10.0.0.%d:7100", i),
					Domain:  "domain-0",
					CPU:     cpu,
				})
			}
			for i := range test.servers {
				view.Servers = append(view.Servers, listing.Server{
					ID:     fmt.Sprint("server-", i),
					Domain: "domain-0",
				})
			}
			assert.Equal(t, len(view.Plan().Homes("domain-0")), test.homes)
		})
	}
}

// TestHomesByProcessor checks that the hosts with the most cores are homes whatever
// the uptime of others, and that jobs are distributed over homes in proportion to
// their cores.
func TestHomesByProcessor(t *testing.T) {
	hosts := fleet(3)
	hosts[1].CPU, hosts[2].CPU = 200, 800
	view := View{
		Hosts:             hosts,
		Servers:           servers(30),
		MaxServersPerHome: 100,
		MaxServersPerCore: 20,
	}
	hosts[0].CPU = 100
	strong := view.Plan().Homes("domain-0")
	assert.Equal(t, len(strong), 1)
	assert.Equal(t, strong[0].Address, hosts[2].Address)
	hosts[2].Stopping = true
	weak := view.Plan().Homes("domain-0")
	assert.Equal(t, len(weak), 2, "one weak host does not have enough cores")
	assert.Equal(t, weak[0].Address, hosts[1].Address)
	hosts[2].Stopping = false
	view.MaxServersPerHome = 5
	assert.Equal(t, len(view.Plan().Homes("domain-0")), 2)
	const jobs = 2000
	onStrongest := 0
	for n := range jobs {
		home, ok := view.Plan().Home(fmt.Sprint("job-", n), "domain-0")
		assert.Assert(t, ok)
		if home.Address == hosts[2].Address {
			onStrongest++
		}
	}
	const expected, tolerance = jobs * 800 / 1000, jobs / 20
	assert.Assert(t, onStrongest > expected-tolerance && onStrongest < expected+tolerance, onStrongest)
}
