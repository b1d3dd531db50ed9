package schedule

import (
	"math"
	"time"
)

// learnPart is the part of a new run time in the average of its route.
const learnPart = 0.05

// times is what is known of the run times of one route's tasks.
type times struct {
	mean  float64 // seconds
	ratio float64 // run time by declared time
	seen  int
}

// withRun returns the averages with one more run.
func (t times) withRun(took, declared time.Duration) times {
	if took <= 0 {
		return t
	}
	t.seen++
	part := math.Max(learnPart, 1/float64(t.seen))
	t.mean += part * (took.Seconds() - t.mean)
	if declared > 0 {
		t.ratio += part * (took.Seconds()/declared.Seconds() - t.ratio)
	}
	return t
}

// expect predicts a run time. The declared time and the route's average carry
// errors of similar size, so their geometric mean is nearer than either.
func (t times) expect(declared time.Duration) time.Duration {
	switch {
	case t.seen == 0:
		return declared
	case declared <= 0 || t.ratio <= 0:
		return time.Duration(t.mean * float64(time.Second))
	}
	corrected := declared.Seconds() * t.ratio
	return time.Duration(math.Sqrt(t.mean*corrected) * float64(time.Second))
}
