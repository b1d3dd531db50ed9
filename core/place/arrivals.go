package place

import (
	"math"
	"math/bits"
	"time"
)

const (
	// sizeBuckets is the number of buckets for jobs, one for each power of two of
	// their number of tasks.
	sizeBuckets = 24
	// arrivalsDecayTime is the time constant of the exponential decay of past
	// arrivals.
	arrivalsDecayTime = 5 * time.Second
)

// arrivals estimates the arrival rate of tasks by the size of their jobs.
type arrivals struct {
	tasks     [sizeBuckets]float64 // decayed sums of tasks, by job size
	decayedAt time.Time            // time of the latest decay
}

func bucket(tasks int) int { return min(sizeBuckets-1, bits.Len(uint(tasks))) }

// add records an arriving job, whether it is accepted or refused.
func (a *arrivals) add(now time.Time, tasks int) {
	a.decay(now)
	a.tasks[bucket(tasks)] += float64(tasks)
}

func (a *arrivals) decay(now time.Time) {
	if passed := now.Sub(a.decayedAt); passed > 0 {
		factor := math.Exp(-passed.Seconds() / arrivalsDecayTime.Seconds())
		for i := range a.tasks {
			a.tasks[i] *= factor
		}
		a.decayedAt = now
	}
}

// rateAhead returns the tasks per second of jobs that rank ahead of a job with
// the given number of tasks because they are smaller. Half of the job's own
// bucket counts.
func (a *arrivals) rateAhead(now time.Time, tasks int) float64 {
	a.decay(now)
	own := bucket(tasks)
	sum := a.tasks[own] / 2
	for _, n := range a.tasks[:own] {
		sum += n
	}
	return sum / arrivalsDecayTime.Seconds()
}
