package scheduler

import (
	"context"
	"time"
)

// idlePeriod is how often a host without work looks whether ownership is to be
// computed and whether its room is to be told.
const idlePeriod = 50 * time.Millisecond

// pulse lets time pass in the shards until ctx ends. A host without work wakes
// rarely; the first work wakes it at once.
func (s *Scheduler) pulse(ctx context.Context, tick, tell time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var told, owned time.Time
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
		s.tick()
		if now.Sub(told) >= tell {
			told = now
			s.tellRoom()
		}
		if now.Sub(owned) >= idlePeriod {
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
		if !shard.idle() {
			shard.passTime()
		}
	}
}
