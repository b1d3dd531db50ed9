package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timesMost is the longest time of a send that is told apart.
	timesMost = time.Hour
	// timesDigits is how many digits of a time are kept.
	timesDigits = 2
	// timesWindows and timesPerWindow bound the sends that are remembered.
	timesWindows   = 3
	timesPerWindow = 2000
	// timesRefresh is how many sends pass before estimates are made anew.
	timesRefresh = 50
)

// times learns how long sends to a service's servers take.
type times struct {
	windows *hdrhistogram.WindowedHistogram
	merged  *hdrhistogram.Histogram
	sends   int
}

func newTimes() *times {
	windows := hdrhistogram.NewWindowed(timesWindows, 1, timesMost.Milliseconds(), timesDigits)
	return &times{
		windows: windows,
		merged:  windows.Merge(),
	}
}

// record learns one send.
func (t *times) record(took time.Duration) {
	ms := min(timesMost.Milliseconds(), max(1, took.Milliseconds()))
	_ = t.windows.Current.RecordValue(ms)
	t.sends++
	if t.sends%timesPerWindow == 0 {
		t.windows.Rotate()
	}
	if t.sends < timesRefresh || t.sends%timesRefresh == 0 {
		t.merged = t.windows.Merge()
	}
}

// mean returns the mean time of a send, 0 before the first one.
func (t *times) mean() time.Duration {
	return time.Duration(t.merged.Mean() * float64(time.Millisecond))
}

// longest returns the median of the longest of n sends, 0 before the first one.
func (t *times) longest(n int) time.Duration {
	const percent = 100
	q := percent * (1 - 0.5/float64(max(1, n)))
	return time.Duration(t.merged.ValueAtQuantile(q)) * time.Millisecond
}
