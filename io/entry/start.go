package entry

import (
	"context"
	"time"
)

// ableEvery is how often a starting host looks whether it can serve.
const ableEvery = 10 * time.Millisecond

// opening is a starting host that holds requests until it can serve.
type opening struct {
	hold   time.Duration // longest time that a request is held
	opened chan struct{} // closed once the host can serve
}

func newOpening(hold time.Duration) opening {
	return opening{
		hold:   hold,
		opened: make(chan struct{}),
	}
}

// watch looks whether the host can serve until it can, and reports whether it does;
// one look serves all requests that are held.
func (o opening) watch(ctx context.Context, able func() bool) bool {
	ticker := time.NewTicker(ableEvery)
	defer ticker.Stop()
	for !able() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	close(o.opened)
	return true
}

// wait holds a request of a host that has just started. A caller that is refused
// does not come back, and the host is able within a moment.
func (o opening) wait(ctx context.Context) {
	select {
	case <-o.opened:
		return
	default:
	}
	timer := time.NewTimer(o.hold)
	defer timer.Stop()
	select {
	case <-o.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
