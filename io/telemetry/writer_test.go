package telemetry

import (
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"
)

// TestWriterNeverBlocks guards against logging that blocks the process while nobody
// reads the output: lines beyond the queue must be dropped and counted.
func TestWriterNeverBlocks(t *testing.T) {
	dropped := prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"})
	reader, pipe := io.Pipe()
	defer func() { _ = reader.Close() }()
	w := newWriter(pipe, dropped)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 2 * maxQueuedLines {
			_, err := w.Write([]byte("line\n"))
			assert.Check(t, err)
		}
	}()
	select {
	case <-finished:
	case <-time.After(time.Minute):
		t.Fatal("a write blocked")
	}
	var m dto.Metric
	assert.NilError(t, dropped.Write(&m))
	assert.Assert(t, m.Counter.GetValue() >= maxQueuedLines-1, m.Counter.GetValue())
}
