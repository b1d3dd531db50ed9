package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOpening: requests that come before a host can serve are held, however many
// they are, by one look at a time, and go on once it can.
func TestOpening(t *testing.T) {
	const requests, looks = 200, 5
	o := newOpening(time.Hour)
	var asked atomic.Int64
	var held sync.WaitGroup
	for range requests {
		held.Go(func() { o.wait(t.Context()) })
	}
	assert.Assert(t, o.watch(t.Context(), func() bool { return asked.Add(1) == looks }))
	held.Wait()
	assert.Equal(t, asked.Load(), int64(looks))
	o.wait(t.Context())
}

// TestOpeningEnds: a request is held no longer than the host may, nor than its
// caller waits.
func TestOpeningEnds(t *testing.T) {
	newOpening(time.Millisecond).wait(t.Context())
	left, leave := context.WithCancel(t.Context())
	leave()
	newOpening(time.Hour).wait(left)
}
