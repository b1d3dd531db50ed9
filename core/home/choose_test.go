package home

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/member"
)

func fleet(n int) []member.Host {
	var live []member.Host
	for i := range n {
		live = append(live, member.Host{
			Address: fmt.Sprintf("127.0.0.1:%d", 7100+i),
			Domain:  fmt.Sprintf("region-%d/domain-%d", i%2, i%4),
		})
	}
	return live
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name  string
		scope Scope
		homes int
	}{
		{
			name:  "host",
			scope: Host{},
			homes: 12,
		},
		{
			name:  "domain",
			scope: Domain{},
			homes: 4,
		},
		{
			name:  "region",
			scope: Region{},
			homes: 2,
		},
		{
			name:  "fleet",
			scope: Fleet{},
			homes: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			live := fleet(12)
			assert.Equal(t, Count(test.scope, live), test.homes)
			for service := range 50 {
				homes := map[string]bool{}
				for _, h := range live {
					chosen := Choose(test.scope, fmt.Sprint(service), h, live)
					assert.Equal(t, group(test.scope, chosen), group(test.scope, h))
					homes[chosen.Address] = true
				}
				assert.Equal(t, len(homes), test.homes)
			}
		})
	}
}

// TestStoppingMovesOnlyItsOwn: a host that stops gives up its services, and
// no other service moves.
func TestStoppingMovesOnlyItsOwn(t *testing.T) {
	live := fleet(9)
	after := fleet(9)
	after[4].Stopping = true
	for service := range 200 {
		name := fmt.Sprint(service)
		before, now := Choose(Fleet{}, name, live[0], live), Choose(Fleet{}, name, live[0], after)
		if before.Address == live[4].Address {
			assert.Assert(t, now.Address != live[4].Address)
		} else {
			assert.Equal(t, now.Address, before.Address)
		}
	}
}

// TestPartsFit: all hosts' parts stay within a server's connections, also
// while an old home still holds its part.
func TestPartsFit(t *testing.T) {
	for _, scope := range []Scope{Host{}, Domain{}, Region{}, Fleet{}} {
		for _, hosts := range []int{2, 7, 9, 12} {
			homes := Count(scope, fleet(hosts))
			sum := float64(hosts) * ConnectionShare(scope, false, homes, hosts)
			if _, every := scope.(Host); !every {
				sum += float64(2*homes) * ConnectionShare(scope, true, homes, hosts)
			}
			assert.Assert(t, sum <= 1.0001, "%T with %d hosts: %f", scope, hosts, sum)
		}
	}
}
