package entry

import (
	"context"
	"sync"
	"time"

	"rosemarywalk/io/clock"
	"rosemarywalk/io/stall"
)

// refreshTimeout is the maximum time that a request is held after a pause of this process.
const refreshTimeout = 300 * time.Millisecond

// pauseGate holds the requests that arrive after a pause of this process until the configuration
// was read again, as it may have changed meanwhile.
type pauseGate struct {
	stalls  *stall.Detector
	refresh func(context.Context)

	mu     sync.Mutex
	pauses int           // so far
	fresh  chan struct{} // closed once the configuration was read after the latest pause; nil before the first one
}

func newPauseGate(stalls *stall.Detector, refresh func(context.Context)) *pauseGate {
	return &pauseGate{
		stalls:  stalls,
		refresh: refresh,
	}
}

// wait blocks until the configuration was read after the latest pause, the hold time passes or ctx
// ends.
func (g *pauseGate) wait(ctx context.Context) {
	pauses, _ := g.stalls.Observe(clock.Now())
	g.mu.Lock()
	if pauses != g.pauses {
		g.pauses, g.fresh = pauses, make(chan struct{})
		go g.read(g.fresh)
	}
	fresh := g.fresh
	g.mu.Unlock()
	if fresh == nil {
		return
	}
	select {
	case <-fresh:
	case <-ctx.Done():
	}
}

func (g *pauseGate) read(fresh chan struct{}) {
	defer close(fresh)
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	g.refresh(ctx)
}
