package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRankOfSortedHosts guards against a rank or a first home that differ from those in the
// sorted list of the live hosts, which isn't made for them.
func TestRankOfSortedHosts(t *testing.T) {
	const (
		models   = 300
		maxHosts = 12
		domains  = 3
		states   = 4 // of which in one a host is stopping
		variety  = 3 // of cores and of starts
	)
	rng := rand.New(rand.NewPCG(1, 1))
	for range models {
		var m *Model
		for i := range 1 + rng.IntN(maxHosts) {
			h := Host{
				Incarnation:     "i",
				Address:         fmt.Sprint(rng.IntN(maxHosts)),
				Domain:          fmt.Sprint(rng.IntN(domains)),
				HeartbeatCount:  1,
				Stopping:        rng.IntN(states) == 0,
				StartedAtMillis: int64(rng.IntN(variety)),
				CPU:             rng.IntN(variety),
			}
			if m == nil {
				m = New(h, limits(), rng)
				continue
			}
			m.Update(startTime, HeartbeatMsg{From: h})
			if i%states == 0 {
				m.Update(startTime, NotListeningMsg{Address: h.Address})
			}
		}
		live := m.Live()
		assert.Assert(t, slices.IsSortedFunc(live, func(a, b Host) int { return strings.Compare(a.Address, b.Address) }))
		assert.Equal(t, m.FirstHome(), FirstHome(live, m.Self().Domain))
		domain := slices.DeleteFunc(live, func(h Host) bool { return h.Domain != m.Self().Domain || h.Stopping })
		slices.SortFunc(domain, CompareFitness)
		rank, hosts := m.DomainRank()
		assert.Equal(t, rank, max(0, slices.IndexFunc(domain, func(h Host) bool { return h.Address == m.Self().Address })))
		assert.Equal(t, hosts, len(domain))
	}
}
