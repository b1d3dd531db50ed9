package schedule

import (
	"math"
	"time"
)

// minSampleWeight is the weight of a new run time in the moving average of its route.
const minSampleWeight = 0.05

// runTimes holds the moving averages of the run times of one route's tasks.
type runTimes struct {
	mean    float64 // seconds
	ratio   float64 // run time divided by declared time
	samples int
}

// withRun returns the averages updated with one more run.
func (t runTimes) withRun(took, declared time.Duration) runTimes {
	if took <= 0 {
		return t
	}
	t.samples++
	weight := math.Max(minSampleWeight, 1/float64(t.samples))
	t.mean += weight * (took.Seconds() - t.mean)
	if declared > 0 {
		t.ratio += weight * (took.Seconds()/declared.Seconds() - t.ratio)
	}
	return t
}

// predicted returns the predicted run time of a task. The declared time and the route's
// average have errors of similar size, so their geometric mean is closer than either.
func (t runTimes) predicted(declared time.Duration) time.Duration {
	switch {
	case t.samples == 0:
		return declared
	case declared <= 0 || t.ratio <= 0:
		return time.Duration(t.mean * float64(time.Second))
	}
	corrected := declared.Seconds() * t.ratio
	return time.Duration(math.Sqrt(t.mean*corrected) * float64(time.Second))
}
