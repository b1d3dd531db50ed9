package stall

import (
	"sync"
	"time"
)

// Detector counts the times that the process stood still. It must be asked more
// often than the gap that it looks for.
type Detector struct {
	limit time.Duration

	mu    sync.Mutex
	last  time.Time     // when it was last asked
	gap   time.Duration // of the latest stall
	count int
}

// New returns a detector of gaps of at least a limit; 0 finds none.
func New(limit time.Duration) *Detector { return &Detector{limit: limit} }

// Count returns how often the process stood still so far, and for how long the
// last time.
func (d *Detector) Count(now time.Time) (count int, gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.last.IsZero() {
		d.note(now.Sub(d.last))
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.count, d.gap
}

// Suspended notes a time for which the host was suspended, which the clock that
// Count goes by doesn't show.
func (d *Detector) Suspended(slept time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(slept)
}

func (d *Detector) note(gap time.Duration) {
	if d.limit > 0 && gap >= d.limit {
		d.gap = gap
		d.count++
	}
}
