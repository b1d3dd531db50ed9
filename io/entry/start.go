package entry

import (
	"context"
	"time"
)

// ableEvery is how often a starting host looks whether it can serve.
const ableEvery = 5 * time.Millisecond

// able reports whether a job could be served.
func (h *Handler) able() bool { return h.watcher.Known() && h.scheduler.Able() }

// untilAble holds a request of a host that has just started. A caller that is
// refused does not come back, and the host is able within a moment.
func (h *Handler) untilAble(ctx context.Context) {
	if h.opened.Load() {
		return
	}
	end := time.Now().Add(h.hold)
	for !h.able() && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(ableEvery)
	}
	if h.able() && h.opened.CompareAndSwap(false, true) {
		h.log.Info("callers are served")
	}
}
