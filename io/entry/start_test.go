package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOpening checks that requests that arrive before a host can serve are held and
// then released together, and that the number of polls does not grow with the number
// of requests.
func TestOpening(t *testing.T) {
	const requests, wantPolls = 200, 5
	gate := newStartGate(time.Hour)
	var polls atomic.Int64
	var held sync.WaitGroup
	for range requests {
		held.Go(func() { gate.wait(t.Context()) })
	}
	assert.Assert(t, gate.poll(t.Context(), func() bool { return polls.Add(1) == wantPolls }))
	held.Wait()
	assert.Equal(t, polls.Load(), int64(wantPolls))
	gate.wait(t.Context())
}

// TestOpeningEnds guards against a request that is held for longer than the hold
// time, or after its caller has disconnected.
func TestOpeningEnds(t *testing.T) {
	newStartGate(time.Millisecond).wait(t.Context())
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	newStartGate(time.Hour).wait(canceled)
}
