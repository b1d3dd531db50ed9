package late

import (
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueue checks the delay that is measured from the runtime's histogram.
func TestQueue(t *testing.T) {
	const millisecond = 0.001
	buckets := []float64{0, millisecond, 10 * millisecond, 100 * millisecond, 1000 * millisecond}
	tests := []struct {
		name   string
		counts []uint64
		after  time.Duration
		want   time.Duration
	}{
		{
			name:   "too few, too early",
			counts: []uint64{0, 0, 0, 2},
		},
		{
			name:   "too few to tell",
			counts: []uint64{0, 0, 0, 2},
			after:  maxSpan,
		},
		{
			name:   "at once",
			counts: []uint64{100, 0, 0, 0},
		},
		{
			name:   "a few wait",
			counts: []uint64{96, 0, 0, 4},
		},
		{
			name:   "a tenth waits",
			counts: []uint64{90, 0, 9, 1},
			want:   10 * time.Millisecond,
		},
		{
			name:   "all wait",
			counts: []uint64{0, 0, 0, 100},
			want:   100 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			histogram := &metrics.Float64Histogram{
				Counts:  []uint64{7, 7, 7, 7},
				Buckets: buckets,
			}
			q := &queue{read: func() *metrics.Float64Histogram { return histogram }}
			assert.Equal(t, q.measure(now), time.Duration(0), "what came before isn't known")
			for i, count := range test.counts {
				histogram.Counts[i] += count
			}
			assert.Equal(t, q.measure(now.Add(test.after)), test.want)
			assert.Equal(t, q.measure(now.Add(test.after)), test.want, "no goroutine since")
		})
	}
}

// TestQueueUnnoticed guards against a delay that is measured by timers alone: these fire on time
// while hundreds of goroutines wait for the processor.
func TestQueueUnnoticed(t *testing.T) {
	const (
		goroutines = 300
		each       = 500 * time.Microsecond
		total      = goroutines * each
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := NewOfProcess()
	m.Expect(time.Now())
	m.Observe(time.Now())
	done := make(chan bool, goroutines)
	for range goroutines {
		go func() {
			for start := time.Now(); time.Since(start) < each; {
				continue
			}
			done <- true
		}()
	}
	for range goroutines {
		<-done
	}
	now := time.Now()
	m.Expect(now)
	delay := m.Observe(now)
	assert.Assert(t, delay >= total/4, "delay %s", delay)
}
