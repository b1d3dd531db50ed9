package late

import (
	"slices"
	"sync"
	"time"
)

// Meter measures how late this host gets to work that is due at a known time.
type Meter struct {
	mu     sync.Mutex
	due    time.Time     // of the next work; zero before the first one
	delays []measurement // of the latest delayWindow, oldest first
}

// measurement is the delay of work.
type measurement struct {
	at    time.Time // when it was done
	delay time.Duration
}

// delayWindow is how long measurements are kept; longer than calls wait between extensions.
const delayWindow = 500 * time.Millisecond

// New returns a Meter without measurements, of a host that isn't late.
func New() *Meter { return &Meter{} }

// Expect records when the next work is due.
func (m *Meter) Expect(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// Observe records that this host has got to the expected work, and returns its delay.
func (m *Meter) Observe(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due.IsZero() {
		return 0
	}
	delay := max(0, now.Sub(m.due))
	m.delays = append(slices.DeleteFunc(m.delays, func(d measurement) bool { return now.Sub(d.at) >= delayWindow }), measurement{
		at:    now,
		delay: delay,
	})
	return delay
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
