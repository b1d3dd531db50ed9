package stall

import (
	"sync"
	"time"
)

// Detector counts the stalls of the process: gaps between two calls of Observe that
// reach a limit. Observe must therefore be called more often than that.
type Detector struct {
	limit time.Duration

	mu    sync.Mutex
	last  time.Time     // time of the latest call of Observe
	gap   time.Duration // length of the latest stall
	count int
}

// New returns a detector of gaps of at least the limit; a limit of 0 disables it.
func New(limit time.Duration) *Detector { return &Detector{limit: limit} }

// Observe records that the process is running at the given time of package clock, and
// returns the number of stalls so far and the length of the latest one.
func (d *Detector) Observe(now time.Time) (count int, gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap := now.Sub(d.last); !d.last.IsZero() && d.limit > 0 && gap >= d.limit {
		d.gap = gap
		d.count++
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.count, d.gap
}
