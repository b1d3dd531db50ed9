package telemetry

import (
	"io"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines is the maximum number of log lines that wait to be written.
const maxQueuedLines = 2048

// writer writes log lines in the background. If the queue is full, a line is dropped
// and counted, so that a slow reader of the logs does not block the process.
type writer struct {
	lines   chan []byte
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
	for line := range w.lines {
		// An error can't be reported anywhere, as the log itself has failed.
		_, _ = out.Write(line)
	}
}

// Write queues one line.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.dropped.Inc()
	}
	return len(line), nil
}

// Limits of the drain at the end of the process.
const (
	drainTimeout      = 200 * time.Millisecond
	drainPollInterval = time.Millisecond
)

// drain waits until the queue is empty, but at most drainTimeout, the time that it may
// add to the end of the process.
func (w *writer) drain() {
	end := time.Now().Add(drainTimeout)
	for len(w.lines) > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
}

// Sync does nothing, as lines are written without buffering beyond the queue.
func (w *writer) Sync() error { return nil }
