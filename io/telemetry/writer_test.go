package telemetry

import (
	"fmt"
	"io"
	"strings"
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

// blockedOutput records writes, each of which waits until it is released.
type blockedOutput struct {
	release chan struct{}
	writes  chan string
}

func (o *blockedOutput) Write(batch []byte) (int, error) {
	<-o.release
	o.writes <- string(batch)
	return len(batch), nil
}

// TestWritePerLine guards against a write for each of the lines that wait together, and checks
// that none is lost or moved.
func TestWritePerLine(t *testing.T) {
	const lines = 100
	out := &blockedOutput{
		release: make(chan struct{}),
		writes:  make(chan string, lines),
	}
	w := newWriter(out, prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"}))
	var want strings.Builder
	for i := range lines {
		line := fmt.Sprintln(i)
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	close(out.release)
	var got strings.Builder
	writes := 0
	for ; got.Len() < want.Len(); writes++ {
		got.WriteString(<-out.writes)
	}
	assert.Equal(t, got.String(), want.String())
	assert.Assert(t, writes <= 2, "%d", writes)
	w.drain()
	assert.Equal(t, w.waiting.Load(), int64(0))
}
