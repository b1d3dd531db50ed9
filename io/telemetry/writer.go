package telemetry

import (
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines is the maximum number of log lines that wait to be written.
const maxQueuedLines = 2048

// maxBatchBytes is the size from which no more lines are added to one write.
const maxBatchBytes = 16 << 10

// writer writes log lines in the background, those that wait together in one write. If the
// queue is full, a line is dropped and counted, so that a slow reader of the logs does not
// block the process.
type writer struct {
	lines   chan []byte
	waiting atomic.Int64 // lines that aren't written yet, no more than lines holds
	dropped prometheus.Counter
}

// newWriter returns a writer and starts its goroutine, which writes to out.
func newWriter(out io.Writer, dropped prometheus.Counter) *writer {
	w := &writer{
		lines:   make(chan []byte, maxQueuedLines),
		dropped: dropped,
	}
	go w.write(out)
	return w
}

func (w *writer) write(out io.Writer) {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		count := int64(1)
		for len(w.lines) > 0 && len(batch) < maxBatchBytes {
			batch = append(batch, <-w.lines...)
			count++
		}
		// An error can't be reported anywhere, as the log itself has failed.
		_, _ = out.Write(batch)
		w.waiting.Add(-count)
	}
}

// Write queues one line.
func (w *writer) Write(line []byte) (int, error) {
	if w.waiting.Add(1) > maxQueuedLines {
		w.waiting.Add(-1)
		w.dropped.Inc()
	} else {
		w.lines <- slices.Clone(line)
	}
	return len(line), nil
}

// Limits of the drain at the end of the process.
const (
	drainTimeout      = 200 * time.Millisecond
	drainPollInterval = time.Millisecond
)

// drain waits until all lines are written, but at most drainTimeout, the time that it may
// add to the end of the process.
func (w *writer) drain() {
	end := time.Now().Add(drainTimeout)
	for w.waiting.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
}

// Sync does nothing, as lines are written without buffering beyond the queue.
func (w *writer) Sync() error { return nil }
