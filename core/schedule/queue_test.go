package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/work"
)

// TestOutcomeOfOtherQueue guards against a caller that gets the outcome of another queue's job
// with the same ID, or ends it by leaving.
func TestOutcomeOfOtherQueue(t *testing.T) {
	jobIn := func(queue string) work.Job {
		job := jobOf("j", 1)
		job.Queue = queue
		return job
	}
	tests := []struct {
		name  string
		queue string
		ended bool // the first job
		first bool
		after time.Duration
		want  work.State
		runs  int
	}{
		{
			name:  "running",
			queue: "p",
			first: true,
			want:  work.Refused,
		},
		{
			name:  "running, and the other job may run elsewhere",
			queue: "p",
			want:  work.Broken,
		},
		{
			name:  "ended",
			queue: "p",
			ended: true,
			first: true,
			want:  work.Refused,
		},
		{
			name:  "forgotten",
			queue: "p",
			ended: true,
			first: true,
			after: limits.OutcomeRetention + 1,
			runs:  1,
		},
		{
			name:  "the same queue",
			queue: "q",
			ended: true,
			want:  work.Completed,
		},
		{
			name:  "a queue that isn't known",
			ended: true,
			want:  work.Completed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(4)
			placed := runs(m.Update(epoch, submit(jobIn("q"))))
			if test.ended {
				m.Update(epoch, ended(placed[0], work.EndDone))
			}
			now := epoch.Add(test.after)
			m.Update(now, TickMsg{})
			other := submit(jobIn(test.queue))
			other.Caller, other.Job.First, other.Job.Deadline = "other", test.first, now.Add(time.Minute)
			other.Job.Arrived = now
			cmds := m.Update(now, other)
			assert.Equal(t, stateOf(cmds), test.want)
			assert.Equal(t, len(runs(cmds)), test.runs)
			if test.ended {
				return
			}
			assert.Equal(t, len(halts(m.Update(now, WithdrawMsg{
				Queue: test.queue,
				ID:    "j",
			}))), 0)
			assert.Equal(t, stateOf(m.Update(now, ended(placed[0], work.EndDone))), work.Completed)
		})
	}
}
