package place

import (
	"math"
	"math/bits"
	"time"
)

const (
	// sizeBuckets is one for each power of two of a job's tasks.
	sizeBuckets = 24
	// arrivalsMemory is how long arrivals count; older ones fade out.
	arrivalsMemory = 5 * time.Second
)

// arrivals estimates how many tasks arrive a second in jobs up to a size.
type arrivals struct {
	tasks [sizeBuckets]float64 // faded sums, by size of their jobs
	at    time.Time            // when the sums were last faded
}

func bucket(tasks int) int { return min(sizeBuckets-1, bits.Len(uint(tasks))) }

// add counts a job that arrived, refused or not.
func (a *arrivals) add(now time.Time, tasks int) {
	a.fade(now)
	a.tasks[bucket(tasks)] += float64(tasks)
}

func (a *arrivals) fade(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / arrivalsMemory.Seconds())
		for i := range a.tasks {
			a.tasks[i] *= factor
		}
		a.at = now
	}
}

// smaller returns the tasks a second of jobs that pass one with so many tasks.
func (a *arrivals) smaller(now time.Time, tasks int) float64 {
	a.fade(now)
	own := bucket(tasks)
	sum := a.tasks[own] / 2
	for _, n := range a.tasks[:own] {
		sum += n
	}
	return sum / arrivalsMemory.Seconds()
}
