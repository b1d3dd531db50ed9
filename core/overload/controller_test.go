package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverloadServesNothing guards against a host that serves less the more comes in: with more
// work than processor time it must serve nearly as much as it can, without long delays.
func TestOverloadServesNothing(t *testing.T) {
	const (
		cost   = 2 * time.Millisecond   // mean processor time of a job
		refuse = 200 * time.Microsecond // the same of a refused one
		period = 10 * time.Millisecond
		length = 10 * time.Second
		step   = time.Millisecond
		target = 30 * time.Millisecond
	)
	tests := []struct {
		name   string
		load   float64 // processor time that jobs ask for, as a share of what there is
		served float64 // least part that is served of what comes, or of what there is time for
		late   time.Duration
	}{
		{
			name:   "half",
			load:   0.5,
			served: 1,
			late:   target,
		},
		{
			name:   "nearly full",
			load:   0.9,
			served: 0.97,
			late:   2 * target,
		},
		{
			name:   "half more",
			load:   1.5,
			served: 0.9,
			late:   3 * target,
		},
		{
			name:   "twice as much",
			load:   2,
			served: 0.8,
			late:   3 * target,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 0))
			c, now := New(target), time.Unix(1000, 0)
			end, due := now.Add(length), now.Add(period)
			var backlog, offered, served, late, drained time.Duration
			var ends []time.Duration // of jobs, as amounts of work by which they have ended
			ticks, lateTicks := 0, 0
			for ; now.Before(end); now = now.Add(step) {
				for arrivals := test.load * float64(step) / float64(cost); arrivals > 0; arrivals-- {
					if arrivals < rng.Float64() {
						break
					}
					took := time.Duration(rng.ExpFloat64() * float64(cost))
					offered += took
					next, refused := c.WithJob()
					c = next
					if refused {
						backlog += refuse
						continue
					}
					served += took
					backlog += took
					ends = append(ends, drained+backlog)
				}
				drained += min(step, backlog)
				backlog = max(0, backlog-step)
				for len(ends) > 0 && ends[0] <= drained {
					ends, c = ends[1:], c.WithoutJob()
				}
				if now.Before(due) {
					continue
				}
				// The tick queues behind all work that has come before.
				late = backlog
				c = c.WithDelay(now, late)
				due = now.Add(max(period, late))
				ticks++
				if late > test.late {
					lateTicks++
				}
			}
			assert.Assert(t, float64(served) >= test.served*float64(min(offered, length)), "served %s of %s", served, offered)
			assert.Assert(t, lateTicks <= ticks/20, "%d of %d ticks were late by over %s", lateTicks, ticks, test.late)
		})
	}
}

// TestPauseRefusesJobs guards against jobs that are refused because the process was paused once.
func TestPauseRefusesJobs(t *testing.T) {
	c, now := New(30*time.Millisecond), time.Unix(1000, 0)
	for _, late := range []time.Duration{0, 0, 3 * time.Second, 0, 0} {
		now = now.Add(10 * time.Millisecond).Add(late)
		c = c.WithDelay(now, late)
		next, refused := c.WithJob()
		c = next
		assert.Assert(t, !refused)
	}
}

// TestIdlePauseLimitsLoad guards against a limit that was set while the host had hardly any jobs, and
// refuses the load that comes later.
func TestIdlePauseLimitsLoad(t *testing.T) {
	const (
		period = 10 * time.Millisecond
		late   = 60 * time.Millisecond
		jobs   = 10
	)
	c, now := New(period), time.Unix(1000, 0)
	c = c.WithDelay(now, 0)
	for range 2 {
		now = now.Add(period + late)
		c = c.WithDelay(now, late)
	}
	for range 10 {
		now = now.Add(period)
		c = c.WithDelay(now, 0)
	}
	for range jobs {
		next, refused := c.WithJob()
		assert.Assert(t, !refused)
		c = next
	}
}
