package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock derives the time from the time since the machine was booted.
type bootClock struct {
	started   time.Time
	base      time.Duration // sinceBoot when the clock was started
	sinceBoot func() time.Duration
}

func newBootClock(sinceBoot func() time.Duration) bootClock {
	return bootClock{
		started:   time.Now(),
		base:      sinceBoot(),
		sinceBoot: sinceBoot,
	}
}

// now returns the current time. The sum keeps the monotonic reading of the start, so that
// differences between times don't depend on the wall clock.
func (c bootClock) now() time.Time { return c.started.Add(c.sinceBoot() - c.base) }

var system = newBootClock(readBootTime)

// readBootTime returns the time since the machine was booted, including suspensions if the
// system counts them.
func readBootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return time.Duration(t.Nano())
}

// Now returns the current time.
func Now() time.Time { return system.now() }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
