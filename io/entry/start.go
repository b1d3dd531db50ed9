package entry

import (
	"context"
	"time"
)

// servePollInterval is the interval at which a starting host checks whether it can serve.
const servePollInterval = 10 * time.Millisecond

// startGate holds the requests that arrive at a starting host until it can serve.
type startGate struct {
	hold  time.Duration // maximum time that a request is held
	ready chan struct{} // closed once the host can serve
}

func newStartGate(hold time.Duration) startGate {
	return startGate{
		hold:  hold,
		ready: make(chan struct{}),
	}
}

// poll calls canServe until it returns true, then releases all held requests. It
// reports false if ctx ends first. Polling once for all requests keeps the cost
// independent of their number.
func (g startGate) poll(ctx context.Context, canServe func() bool) bool {
	ticker := time.NewTicker(servePollInterval)
	defer ticker.Stop()
	for !canServe() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	close(g.ready)
	return true
}

// wait blocks until the host can serve, the hold time passes or ctx ends. Requests are
// held instead of refused because refused callers do not retry, and a starting host can
// usually serve shortly after.
func (g startGate) wait(ctx context.Context) {
	select {
	case <-g.ready:
		return
	default:
	}
	timer := time.NewTimer(g.hold)
	defer timer.Stop()
	select {
	case <-g.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}
