package telemetry

import (
	"io"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// linesMax is how many log lines may wait to be written.
const linesMax = 2048

// writer writes log lines in the background. A line that finds the queue full
// is dropped and counted, so that a slow reader of the logs holds nobody up.
type writer struct {
	lines   chan []byte
	dropped prometheus.Counter
}

// newWriter starts to write lines to out.
func newWriter(out io.Writer, dropped prometheus.Counter) *writer {
	w := &writer{
		lines:   make(chan []byte, linesMax),
		dropped: dropped,
	}
	go w.write(out)
	return w
}

func (w *writer) write(out io.Writer) {
	for line := range w.lines {
		// There is nowhere to report a log that can't be written.
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

// The drain at the end of the process.
const (
	drainMost  = 200 * time.Millisecond
	drainEvery = time.Millisecond
)

// drain waits until the queued lines are written, or for as long as the end of
// the process may take.
func (w *writer) drain() {
	end := time.Now().Add(drainMost)
	for len(w.lines) > 0 && time.Now().Before(end) {
		time.Sleep(drainEvery)
	}
}

// Sync has nothing to do; lines are written as they come.
func (w *writer) Sync() error { return nil }
