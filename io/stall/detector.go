package stall

import (
	"sync"
	"time"
)

// Detector counts the stalls of the process: gaps between two calls of Count that
// reach a limit. Count must therefore be called more often than that.
type Detector struct {
	limit time.Duration

	mu    sync.Mutex
	last  time.Time     // time of the latest call of Count
	gap   time.Duration // length of the latest stall
	count int
}

// New returns a detector of gaps of at least the limit; a limit of 0 disables it.
func New(limit time.Duration) *Detector { return &Detector{limit: limit} }

// Observe records that the process is running at the given time, and returns the number
// of stalls so far and the length of the latest one.
func (d *Detector) Observe(now time.Time) (count int, gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.last.IsZero() {
		d.record(now.Sub(d.last))
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.count, d.gap
}

// RecordSuspension records that the host was suspended for the given time, which the clock
// used for Count does not include.
func (d *Detector) RecordSuspension(slept time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(slept)
}

func (d *Detector) record(gap time.Duration) {
	if d.limit > 0 && gap >= d.limit {
		d.gap = gap
		d.count++
	}
}
