package roster

import (
	"math/rand/v2"
	"testing"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/evacuation"
	"rosemarywalk/core/member"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// TestEvacuatedInHeartbeat checks that heartbeats carry which failure domains are evacuated once
// there was one, and that an invalid set is ignored as a whole.
func TestEvacuatedInHeartbeat(t *testing.T) {
	counters := telemetry.NewCounters(prometheus.NewRegistry())
	r := New(member.New(member.Host{Address: "self"}, member.Limits{}, rand.New(rand.NewPCG(1, 1))), nil, 0, 0, 1, 1, 1, counters, logr.Discard())
	var known evacuation.Domains
	r.SetEvacuated(func() evacuation.Domains { return known })
	r.OnEvacuated(func(d evacuation.Domains, _ string) { known = known.WithNewer(d) })
	receive := func(e *wire.Evacuation) {
		t.Helper()
		r.serveEvacuated(&wire.Beat{Evacuated: e})
	}
	assert.Assert(t, r.heartbeat().Evacuated == nil)
	receive(nil)
	for _, invalid := range []wire.Evacuation{
		{Domains: []string{"a"}},
		{
			Position: 3,
			Domains:  []string{"a", ""},
		},
	} {
		receive(&invalid)
	}
	assert.Assert(t, r.heartbeat().Evacuated == nil)
	receive(&wire.Evacuation{
		Position: 3,
		Domains:  []string{"b", "a"},
	})
	assert.DeepEqual(t, r.heartbeat().Evacuated.Domains, []string{"a", "b"})
	receive(&wire.Evacuation{Position: 4})
	assert.Equal(t, len(r.heartbeat().Evacuated.Domains), 0)
	assert.Equal(t, r.heartbeat().Evacuated.Position, 4)
}
