package late

import (
	"slices"
	"sync"
	"time"
)

// Meter measures how late this host gets to its work.
type Meter struct {
	mu     sync.Mutex
	queue  *queue        // nil to measure only work that is due at a known time
	due    time.Time     // of the next work; zero before the first one
	delays []measurement // of the latest delayWindow, oldest first
	stale  bool          // the latest measurement of the queue was made before
}

// measurement is the delay of work.
type measurement struct {
	at    time.Time // when it was done
	delay time.Duration
}

// delayWindow is how long measurements are kept; longer than calls wait between extensions.
const delayWindow = 500 * time.Millisecond

// New returns a Meter without measurements, of a host that isn't late. It measures the work that
// is due at a known time.
func New() *Meter { return &Meter{} }

// NewOfProcess returns a Meter that also measures how long the goroutines of this process wait for
// the processor.
func NewOfProcess() *Meter { return &Meter{queue: newQueue()} }

// Expect records when the next work is due.
func (m *Meter) Expect(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// Observe records that this host has got to the expected work, and returns its delay, or that of
// the goroutines of this process if it is longer.
func (m *Meter) Observe(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due.IsZero() {
		return 0
	}
	delay := max(0, now.Sub(m.due))
	if m.queue != nil {
		delay = max(delay, m.queue.measure(now))
		m.stale = !m.queue.measuredAt.Equal(now)
	}
	m.delays = append(slices.DeleteFunc(m.delays, func(d measurement) bool { return now.Sub(d.at) >= delayWindow }), measurement{
		at:    now,
		delay: delay,
	})
	return delay
}

// Stale reports whether the delay that was observed last may be that of an earlier observation, as
// too few goroutines have waited since.
func (m *Meter) Stale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stale
}

// Since returns the longest delay of work that was done since a time, or is still awaited.
func (m *Meter) Since(since time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := time.Duration(0)
	if !m.due.IsZero() {
		longest = max(0, time.Since(m.due))
	}
	for _, d := range m.delays {
		if d.at.After(since) {
			longest = max(longest, d.delay)
		}
	}
	return longest
}
