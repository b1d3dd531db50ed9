package schedule

import (
	"math"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// usualTime returns how long a run would have taken on the usual server.
func usualTime(msg EndMsg) time.Duration {
	if msg.Speed <= 0 {
		return msg.Took
	}
	return time.Duration(float64(msg.Took) * msg.Speed)
}

// speedOf returns the speed of a slot's server relative to the usual one.
func speedOf(s pool.Slot) float64 {
	if s.Speed <= 0 {
		return 1
	}
	return s.Speed
}

// timeAt returns the predicted run time of a task on a slot's server, 0 if it is unknown.
func timeAt(s pool.Slot, t work.Task) time.Duration {
	return time.Duration(float64(t.PredictedTime) / speedOf(s))
}

// fastest returns the speed of the fastest servers of all pools, 0 if the servers of each are alike.
func (m *Model) fastest() float64 {
	fast := 0.0
	for _, p := range m.pools {
		fast = max(fast, p.fast)
	}
	return fast
}

// minSpeed returns the speed that the server of a task must have, relative to the usual one, and
// 0 if any will do; fast is that of the fastest servers. The load pattern is that of servers of
// which a part is so slow that long tasks end late there: these wait for a faster server as long
// as it ends them in time. A task that ends late anywhere still needs a server that ends it while
// its outcome is of use. Where servers are alike, any will do: a few that are slow for a time are
// used last as it is.
func (m *Model) minSpeed(now time.Time, j *job, t *task, fast float64) float64 {
	if m.limits.SpeedFactor <= 0 || fast == 0 {
		return 0
	}
	for _, end := range []time.Time{j.objective, j.usefulUntil} {
		if left := end.Sub(now) - j.after[t.step]; left > 0 {
			need := math.Ceil(m.limits.SpeedFactor*float64(j.timeOf(t))/float64(left)*speedSteps) / speedSteps
			if need <= fast {
				return need
			}
		}
	}
	return 0
}

// speedSteps is the number of values that a minimum speed of 1 is divided into, so that tasks
// with about the same need are passed over together.
const speedSteps = 20
