package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/io/clock"
	"rosemarywalk/io/stall"
)

// TestPausedHostUsesOldConfig guards against requests that a host handles by the configuration of
// before a pause: the next one was acknowledged long ago, and the host's connections to the store
// may have gone silent.
func TestPausedHostUsesOldConfig(t *testing.T) {
	const (
		limit = 500 * time.Millisecond
		read  = 10 * time.Millisecond
	)
	tests := []struct {
		name   string
		pauses []time.Duration
		takes  time.Duration // of a read of the configuration
		held   []time.Duration
		reads  int
	}{
		{
			name:   "no pause",
			pauses: []time.Duration{limit / 2, limit / 2},
			takes:  read,
			held:   []time.Duration{0, 0},
		},
		{
			name:   "a pause",
			pauses: []time.Duration{limit, limit / 2},
			takes:  read,
			held:   []time.Duration{read, 0},
			reads:  1,
		},
		{
			name:   "two pauses",
			pauses: []time.Duration{limit, limit},
			takes:  read,
			held:   []time.Duration{read, read},
			reads:  2,
		},
		{
			name:   "the store doesn't answer",
			pauses: []time.Duration{limit, limit / 4},
			takes:  time.Hour,
			held:   []time.Duration{refreshTimeout, 0},
			reads:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := 0
				stalls := stall.New(limit)
				started := clock.Now()
				now := started
				stalls.Observe(now)
				gate := newPauseGate(stalls, func(ctx context.Context) {
					reads++
					select {
					case <-time.After(test.takes):
					case <-ctx.Done():
					}
				})
				for i, pause := range test.pauses {
					now = now.Add(pause)
					stalls.Observe(now)
					sent := time.Now()
					gate.wait(t.Context())
					assert.Equal(t, time.Since(sent), test.held[i])
				}
				assert.Equal(t, reads, test.reads)
			})
		})
	}
}
