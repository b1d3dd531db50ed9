package late

import (
	"runtime/metrics"
	"slices"
	"time"
)

// latencies is the metric of the runtime with the times that goroutines have waited for the
// processor, of a sample of them.
const latencies = "/sched/latencies:seconds"

const (
	// A measurement takes minSamples goroutines or maxSpan, whichever comes first.
	minSamples = 16
	maxSpan    = 50 * time.Millisecond
	// quantile is the share of the goroutines that wait no longer than the measured delay: most
	// are run at once by the one that wakes them.
	quantile = 0.95
)

// queue measures how long goroutines wait for the processor. Late timers don't show that: the Go
// runtime runs timers ahead of these goroutines, so that a timeout fires on time while the answer
// that it waits for is still unread.
type queue struct {
	read func() *metrics.Float64Histogram

	counts     []uint64 // of the latest measurement
	measuredAt time.Time
	delay      time.Duration // of the latest measurement
}

func newQueue() *queue {
	samples := []metrics.Sample{{Name: latencies}}
	return &queue{
		read: func() *metrics.Float64Histogram {
			metrics.Read(samples)
			return samples[0].Value.Float64Histogram()
		},
	}
}

// measure returns the delay of the goroutines since the latest measurement, or that one if there
// were too few of them yet.
func (q *queue) measure(now time.Time) time.Duration {
	histogram := q.read()
	if q.counts == nil {
		q.counts, q.measuredAt = slices.Clone(histogram.Counts), now
		return 0
	}
	samples := uint64(0)
	for i, count := range histogram.Counts {
		samples += count - q.counts[i]
	}
	if samples < minSamples && now.Sub(q.measuredAt) < maxSpan {
		return q.delay
	}
	q.delay = q.delayOf(histogram, samples)
	copy(q.counts, histogram.Counts)
	q.measuredAt = now
	return q.delay
}

// delayOf returns the quantile of a number of samples that came since the latest measurement, by
// the lower bound of its bucket.
func (q *queue) delayOf(histogram *metrics.Float64Histogram, samples uint64) time.Duration {
	if samples < minSamples {
		return 0
	}
	above := uint64((1 - quantile) * float64(samples))
	for i := len(histogram.Counts) - 1; i > 0; i-- {
		count := histogram.Counts[i] - q.counts[i]
		if count > above {
			return time.Duration(histogram.Buckets[i] * float64(time.Second))
		}
		above -= count
	}
	return 0
}
