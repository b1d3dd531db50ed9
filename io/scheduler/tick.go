package scheduler

import (
	"context"
	"time"

	"rosemarywalk/io/loop"
)

// minOwnershipInterval is the minimum time between computations of ownership, so that a
// burst of joining hosts triggers only one.
const minOwnershipInterval = 20 * time.Millisecond

// idleInterval is how often an idle host checks whether ownership must be recomputed and
// whether capacity reports are due.
const idleInterval = 50 * time.Millisecond

// runTicks ticks the shards until ctx ends. An idle host uses the longer idle interval,
// and new work wakes it immediately.
func (s *Scheduler) runTicks(ctx context.Context, tick, reportInterval time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastReport, lastConfirm, lastAnnouncement, lastOwnership time.Time
	for {
		idle := s.idle()
		period, wake := tick, (<-chan struct{})(nil)
		if idle {
			period, wake = idleInterval, s.wakeUp
		}
		wait := loop.Next(period)
		s.config.Meter.Expect(time.Now().Add(wait))
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.load.observe(time.Now())
		case <-wake:
		}
		now := s.config.Now()
		s.load.log(now, s.config.Log)
		if now.Sub(lastConfirm) >= confirmInterval {
			lastConfirm = now
			if !idle || s.isHome() {
				s.updateHomes()
			}
			for _, shard := range s.all() {
				shard.confirm()
			}
		}
		s.tick()
		if now.Sub(lastReport) >= reportInterval {
			lastReport = now
			s.sendCapacity()
		}
		if now.Sub(lastAnnouncement) >= s.config.Announce {
			lastAnnouncement = now
			s.announce()
		}
		if now.Sub(lastOwnership) >= minOwnershipInterval {
			lastOwnership = now
			s.refreshOwnership()
		}
	}
}

// wake interrupts the wait of an idle host.
func (s *Scheduler) wake() {
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// idle reports whether no shard needs ticks.
func (s *Scheduler) idle() bool {
	for _, shard := range s.all() {
		if !shard.idle() {
			return false
		}
	}
	return true
}

// tick advances time in all shards; an idle shard only checks for a stall.
func (s *Scheduler) tick() {
	for _, shard := range s.all() {
		if shard.idle() {
			shard.apply(nil)
		} else {
			shard.advance()
		}
	}
}
