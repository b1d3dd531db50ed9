package owner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// fleet returns hosts in domains of three, the first the oldest.
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

// TestEveryServerHasOneOwner: hosts that know the same choose the same, in the
// server's own failure domain as long as that has a host.
func TestEveryServerHasOneOwner(t *testing.T) {
	tests := []struct {
		name    string
		change  func([]member.Host) []member.Host
		perHome int
		owners  int
	}{
		{
			name:    "a home for each domain",
			perHome: 100,
			owners:  3,
		},
		{
			name:    "two homes for each domain",
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
			name: "a host that stops",
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
			held := 0
			for _, h := range hosts {
				mine := v.Mine(h, nil, nil)
				held += len(mine)
				if len(mine) > 0 {
					owners[h.Address] = true
				}
			}
			assert.Equal(t, held, 30)
			assert.Equal(t, len(owners), test.owners)
		})
	}
}

// TestRestartKeepsHomes: a host that comes back younger takes nothing from the
// home that replaced it.
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

// TestClaims: a server that another live host holds is waited for; one that
// this host holds already is kept.
func TestClaims(t *testing.T) {
	v := View{
		Hosts:             fleet(3),
		Servers:           servers(1),
		MaxServersPerHome: 100,
	}
	self, other := v.Hosts[0], v.Hosts[1].Address
	claims := Claims{other: {"server-0"}}
	assert.Equal(t, len(v.Mine(self, nil, claims)), 0)
	assert.Equal(t, len(v.Mine(self, []string{"server-0"}, claims)), 1)
	v.Hosts = v.Hosts[:1]
	assert.Equal(t, len(v.Mine(self, nil, claims)), 1)
}

// TestIsolated: a host that hears few of those that live takes nothing over,
// and keeps what it holds; the others take over from the silent ones of their
// own failure domain only.
func TestIsolated(t *testing.T) {
	var known []listing.Host
	for _, h := range fleet(9) {
		known = append(known, listing.Host{
			Address: h.Address,
			Domain:  h.Domain,
		})
	}
	tests := []struct {
		name  string
		heard []member.Host
		known []listing.Host
		held  []string
		want  int
	}{
		{
			name:  "hears all",
			heard: fleet(9),
			known: known,
			want:  10,
		},
		{
			name:  "hears nobody",
			heard: fleet(1),
			known: known,
		},
		{
			name:  "hears nobody, holds one",
			heard: fleet(1),
			known: known,
			held:  []string{"server-0"},
			want:  1,
		},
		{
			name:  "one failure domain is silent",
			heard: fleet(6),
			known: known,
			want:  10,
		},
		{
			name:  "one failure domain is dead",
			heard: fleet(6),
			known: known[:6],
			want:  15,
		},
		{
			name:  "all others are dead",
			heard: fleet(1),
			known: known[:1],
			want:  30,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := View{
				Hosts:             test.heard,
				Listed:            test.known,
				Servers:           servers(30),
				MaxServersPerHome: 100,
			}
			assert.Equal(t, len(v.Mine(test.heard[0], test.held, nil)), test.want)
		})
	}
}

// TestComplete: a host that starts knows whether it hears all of its failure domain.
func TestComplete(t *testing.T) {
	hosts := fleet(6)
	tests := []struct {
		name  string
		known []member.Host
		want  bool
	}{
		{
			name: "nobody is listed",
			want: true,
		},
		{
			name:  "all are heard",
			known: hosts[:2],
			want:  true,
		},
		{
			name:  "one isn't heard",
			known: hosts[:3],
		},
		{
			name:  "one of another failure domain isn't heard",
			known: hosts[3:],
			want:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := View{Hosts: hosts[:2]}
			for _, h := range test.known {
				v.Listed = append(v.Listed, listing.Host{
					Address: h.Address,
					Domain:  h.Domain,
				})
			}
			assert.Equal(t, v.Complete(hosts[0].Domain), test.want)
		})
	}
}

// TestLastHostStops: when the last host of a failure domain stops as planned, its
// servers are taken over from outside once it has let them go, and not before.
func TestLastHostStops(t *testing.T) {
	tests := []struct {
		name  string
		stops bool
		claim bool
		want  int // servers of the foreign domain that others take
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
			assert.Equal(t, len(v.Mine(hosts[0], nil, claims)), test.want)
		})
	}
}

// TestPartners: a home lends to and borrows from the homes of its own failure domain,
// one of each other domain and back, and hosts that stop, as their jobs go on.
func TestPartners(t *testing.T) {
	tests := []struct {
		name    string
		hosts   int
		perHome int
		stops   bool // the first host of the second failure domain
		want    int  // partners of the first home
	}{
		{
			name:    "a home in each of six domains",
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
			name:    "a host that stops",
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
				assert.Assert(t, slices.Contains(partners[p], first), "%s is no partner back", p)
			}
			assert.Assert(t, slices.Contains(partners[first], v.Hosts[3].Address))
		})
	}
}

// TestHomesByProcessor: the strongest hosts are homes, however long others run,
// and among several each gets its part.
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
	assert.Equal(t, len(weak), 2, "no weak host alone is enough")
	assert.Equal(t, weak[0].Address, hosts[1].Address)
	hosts[2].Stopping = false
	view.MaxServersPerHome = 5
	assert.Equal(t, len(view.Plan().Homes("domain-0")), 2)
	const jobs = 2000
	byStrong := 0
	for n := range jobs {
		home, ok := view.Plan().Home(fmt.Sprint("job-", n), "domain-0")
		assert.Assert(t, ok)
		if home.Address == hosts[2].Address {
			byStrong++
		}
	}
	const fair, off = jobs * 800 / 1000, jobs / 20
	assert.Assert(t, byStrong > fair-off && byStrong < fair+off, byStrong)
}
