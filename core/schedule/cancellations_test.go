package schedule

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCancellations checks for which jobs and how long requests to cancel are kept.
func TestCancellations(t *testing.T) {
	const retention = time.Minute
	tests := []struct {
		name  string
		again time.Duration // when the request is repeated; 0 if it isn't
		queue string
		id    string
		after time.Duration
		want  bool
	}{
		{
			name:  "the job",
			queue: "q",
			id:    "j",
			after: retention - 1,
			want:  true,
		},
		{
			name:  "expired",
			queue: "q",
			id:    "j",
			after: retention,
		},
		{
			name:  "repeated",
			again: retention / 2,
			queue: "q",
			id:    "j",
			after: retention,
			want:  true,
		},
		{
			name: "a queue that isn't known",
			id:   "j",
			want: true,
		},
		{
			name:  "another queue",
			queue: "p",
			id:    "j",
		},
		{
			name:  "another job",
			queue: "q",
			id:    "k",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewCancellations(retention)
			c.Add(epoch, "q", "j")
			if test.again > 0 {
				c.Add(epoch.Add(test.again), "q", "j")
			}
			c.Add(epoch.Add(test.after), "other", "other")
			assert.Equal(t, c.Has(epoch.Add(test.after), test.queue, test.id), test.want)
		})
	}
}

// TestCancellationsBounded checks that requests to cancel unknown jobs don't take more and more
// memory, and that all go in time.
func TestCancellationsBounded(t *testing.T) {
	c := NewCancellations(time.Minute)
	for i := range maxCancellations + 10 {
		c.Add(epoch, "q", strconv.Itoa(i))
	}
	assert.Equal(t, len(c.byID), maxCancellations)
	assert.Assert(t, !c.Has(epoch, "q", "9") && c.Has(epoch, "q", "10"))
	c.Add(epoch.Add(time.Minute), "q", "j")
	assert.Equal(t, len(c.byID), 1)
}

// TestRepeatedCancellationEvictsOthers guards against requests that are dropped before their time
// because another one is repeated.
func TestRepeatedCancellationEvictsOthers(t *testing.T) {
	c := NewCancellations(time.Minute)
	c.Add(epoch, "q", "j")
	for range maxCancellations {
		c.Add(epoch, "q", "k")
	}
	assert.Assert(t, c.Has(epoch, "q", "j"))
}

// TestCancellationsNamed checks that requests are listed for all queues that use an ID.
func TestCancellationsNamed(t *testing.T) {
	c := NewCancellations(time.Minute)
	c.Add(epoch, "q", "j")
	c.Add(epoch, "p", "j")
	c.Add(epoch, "q", "k")
	assert.DeepEqual(t, c.Named(epoch, []string{"i", "j"}), []JobName{
		{
			Queue: "p",
			ID:    "j",
		},
		{
			Queue: "q",
			ID:    "j",
		},
	})
	assert.Equal(t, len(c.Named(epoch.Add(time.Minute), []string{"j"})), 0)
}
