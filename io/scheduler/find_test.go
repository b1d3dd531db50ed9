package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/work"
)

// TestCanceledAfterQueueMoved guards against requests that look for a job only under the
// service that its queue has now.
func TestCanceledAfterQueueMoved(t *testing.T) {
	tests := []struct {
		name     string
		at       string // host that gets the requests
		queue    string
		state    string
		canceled bool
	}{
		{
			name:     "at its home",
			at:       "a",
			queue:    "q",
			state:    "running",
			canceled: true,
		},
		{
			name:     "at another host",
			at:       "b",
			queue:    "q",
			state:    "running",
			canceled: true,
		},
		{
			name:  "a job of another queue",
			at:    "b",
			queue: "p",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network, starts, _ := newHomes(t, time.Millisecond)
			outcomes := make(chan work.Outcome, 1)
			job := announcedJob()
			job.Queue = "q"
			go func() {
				outcome, _ := network.schedulers["a"].Do(t.Context(), job)
				outcomes <- outcome
			}()
			<-starts["a"]
			query := Query{
				Queue:   test.queue,
				Service: "other",
				ID:      job.ID,
			}
			s := network.schedulers[test.at]
			assert.Equal(t, s.Find(t.Context(), query, false), test.state)
			assert.Equal(t, s.Find(t.Context(), query, true), test.state)
			close(network.hold)
			assert.Equal(t, (<-outcomes).State == work.Canceled, test.canceled)
		})
	}
}

// TestUnsubmittedShownAsCanceled guards against an ID that nobody submitted and that is shown
// as a canceled job.
func TestUnsubmittedShownAsCanceled(t *testing.T) {
	network, starts, _ := newHomes(t, time.Millisecond)
	defer close(network.hold)
	job := announcedJob()
	query := Query{
		Queue:   job.Queue,
		Service: job.Service,
		ID:      job.ID,
	}
	assert.Equal(t, network.schedulers["a"].Find(t.Context(), query, true), "")
	for _, address := range []string{"a", "b"} {
		assert.Equal(t, network.schedulers[address].Find(t.Context(), query, false), "")
	}
	// Once submitted, it is one.
	outcome, ok := network.schedulers["b"].Do(t.Context(), job)
	assert.Assert(t, ok)
	assert.Equal(t, outcome.State, work.Canceled)
	assert.Equal(t, network.schedulers["a"].Find(t.Context(), query, false), string(work.Canceled))
	assert.Equal(t, len(starts["a"])+len(starts["b"]), 0)
}
