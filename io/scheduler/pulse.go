package scheduler

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// ownPause is the least time between computations of ownership, so that many hosts
// that come at once cost one.
const ownPause = 20 * time.Millisecond

// idlePeriod is how often a host without work looks whether ownership is to be
// computed and whether its room is to be told.
const idlePeriod = 50 * time.Millisecond

// pulse lets time pass in the shards until ctx ends. A host without work wakes
// rarely; the first work wakes it at once.
func (s *Scheduler) pulse(ctx context.Context, tick, tell time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var told, owned time.Time
	var clock sleepClock
	for {
		idle := s.idle()
		period, wake := tick, (<-chan struct{})(nil)
		if idle {
			period, wake = idlePeriod, s.woken
		}
		timer.Reset(period)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wake:
		}
		now := time.Now()
		if slept := clock.suspended(); slept > 0 {
			s.parts.Stalls.Suspended(slept)
		}
		s.tick()
		if now.Sub(told) >= tell {
			told = now
			s.tellRoom()
		}
		if now.Sub(owned) >= ownPause {
			owned = now
			s.ownAgain()
		}
	}
}

// wake ends the pause of a host without work.
func (s *Scheduler) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// idle reports whether no time needs to pass in any shard.
func (s *Scheduler) idle() bool {
	for _, shard := range s.all() {
		if !shard.idle() {
			return false
		}
	}
	return true
}

// tick lets time pass in all shards.
func (s *Scheduler) tick() {
	for _, shard := range s.all() {
		if shard.idle() {
			shard.apply(nil)
		} else {
			shard.passTime()
		}
	}
}

// sleepClock finds out that the host was suspended: one clock counts that time and
// the other doesn't.
type sleepClock struct {
	known bool
	ahead time.Duration // of the clock that counts it
}

// suspended returns the time for which the host was suspended since the last call.
func (c *sleepClock) suspended() time.Duration {
	var with, without unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &with) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &without) != nil {
		return 0
	}
	return c.read(time.Duration(with.Nano() - without.Nano()))
}

func (c *sleepClock) read(ahead time.Duration) time.Duration {
	slept := ahead - c.ahead
	if !c.known {
		slept = 0
	}
	c.known, c.ahead = true, ahead
	return slept
}
