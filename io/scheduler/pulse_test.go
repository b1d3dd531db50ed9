package scheduler

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/telemetry"
)

// TestWake: work that has to be watched ends the pause of an idle host, and
// news that need no watching don't.
func TestWake(t *testing.T) {
	tests := []struct {
		name string
		msg  schedule.Msg
		want bool
	}{
		{
			name: "a job",
			msg: schedule.SubmitMsg{
				Job: work.Job{
					ID:       "j",
					Steps:    []work.Step{{Count: 1}},
					Deadline: time.Now().Add(time.Hour),
				},
				Caller: "c",
			},
			want: true,
		},
		{
			name: "room elsewhere",
			msg:  schedule.RoomMsg{Host: "other"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Parts{
				Jobs:     schedule.Limits{MaxJobs: 10},
				Counters: telemetry.NewCounters(telemetry.NewRegistry()),
				Log:      logr.Discard(),
			})
			shard := s.newShard("service", "domain")
			s.shards["service"] = shard
			shard.update(test.msg)
			assert.Equal(t, len(s.woken) > 0, test.want)
			assert.Equal(t, s.idle(), !test.want)
		})
	}
}

// TestStoodStill: after a pause no decision is made for jobs that other hosts took,
// and a task whose lending was decided before is not lent.
func TestStoodStill(t *testing.T) {
	const stall = 500 * time.Millisecond
	s := New(Parts{
		Jobs:     schedule.Limits{MaxJobs: 10},
		Stall:    stall,
		Counters: telemetry.NewCounters(telemetry.NewRegistry()),
		Log:      logr.Discard(),
	})
	shard := s.newShard("service", "domain")
	answer := make(chan work.Outcome, 1)
	shard.callers["c"] = func(o work.Outcome) { answer <- o }
	shard.update(schedule.SubmitMsg{
		Job: work.Job{
			ID:       "j",
			Steps:    []work.Step{{Count: 1}},
			Deadline: time.Now().Add(time.Hour),
		},
		Caller: "c",
		Remote: true,
	})
	assert.Equal(t, len(answer), 0)
	s.parts.Stalls.Suspended(stall)
	shard.apply(nil)
	assert.Equal(t, (<-answer).Reason, core.ReasonStall)
	// There is no lender here to be asked.
	shard.lend(schedule.RunCmd{Host: "other"}, time.Now().Add(-stall))
}

// TestSleepClock: clocks that agree at first tell a suspension as well as clocks that
// differ.
func TestSleepClock(t *testing.T) {
	tests := []struct {
		name  string
		first time.Duration
	}{
		{
			name: "never suspended before",
		},
		{
			name:  "suspended before the start",
			first: time.Hour,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c sleepClock
			assert.Equal(t, c.read(test.first), time.Duration(0))
			assert.Equal(t, c.read(test.first), time.Duration(0))
			assert.Equal(t, c.read(test.first+2*time.Second), 2*time.Second)
		})
	}
}
