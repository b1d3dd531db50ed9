package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxSendTime is the upper bound of the histogram; longer times are recorded as
	// this.
	maxSendTime = time.Hour
	// significantDigits is the precision of recorded times.
	significantDigits = 2
	// sendWindows and sendsPerWindow limit how many past sends count.
	sendWindows    = 3
	sendsPerWindow = 2000
	// sendsPerRefresh is the number of sends between updates of the estimates.
	sendsPerRefresh = 50
)

// sendTimes records how long tasks take on the servers of a service, from sending
// to answer.
type sendTimes struct {
	windows *hdrhistogram.WindowedHistogram
	merged  *hdrhistogram.Histogram
	sends   int
}

func newSendTimes() *sendTimes {
	windows := hdrhistogram.NewWindowed(sendWindows, 1, maxSendTime.Milliseconds(), significantDigits)
	return &sendTimes{
		windows: windows,
		merged:  windows.Merge(),
	}
}

func (t *sendTimes) record(took time.Duration) {
	ms := min(maxSendTime.Milliseconds(), max(1, took.Milliseconds()))
	_ = t.windows.Current.RecordValue(ms)
	t.sends++
	if t.sends%sendsPerWindow == 0 {
		t.windows.Rotate()
	}
	if t.sends < sendsPerRefresh || t.sends%sendsPerRefresh == 0 {
		t.merged = t.windows.Merge()
	}
}

// mean returns the mean time, or 0 before the first one is recorded.
func (t *sendTimes) mean() time.Duration {
	return time.Duration(t.merged.Mean() * float64(time.Millisecond))
}

// longestOf returns the median of the maximum of n times, or 0 before the first
// one is recorded.
func (t *sendTimes) longestOf(n int) time.Duration {
	const percent = 100
	q := percent * (1 - 0.5/float64(max(1, n)))
	return time.Duration(t.merged.ValueAtQuantile(q)) * time.Millisecond
}
