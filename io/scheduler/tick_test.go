package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/member"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/telemetry"
)

// TestWorkWakesIdleHost checks that work that needs ticks wakes an idle host, and that
// messages that need none don't.
func TestWorkWakesIdleHost(t *testing.T) {
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
			name: "capacity report",
			msg:  schedule.CapacityMsg{Host: "other"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{
				Jobs:     schedule.Limits{MaxJobs: 10},
				Counters: telemetry.NewCounters(telemetry.NewRegistry()),
				Log:      logr.Discard(),
			})
			shard := s.newShard("service", "domain")
			s.shards["service"] = shard
			shard.update(test.msg)
			assert.Equal(t, len(s.wakeUp) > 0, test.want)
			assert.Equal(t, s.idle(), !test.want)
		})
	}
}

// TestStoodStill checks that after a stall jobs accepted by other hosts are abandoned,
// as they may run elsewhere by then, and that a task whose lending was decided before
// the stall is not lent.
func TestStoodStill(t *testing.T) {
	const stall = 500 * time.Millisecond
	s := New(Config{
		Jobs:     schedule.Limits{MaxJobs: 10},
		Stall:    stall,
		Counters: telemetry.NewCounters(telemetry.NewRegistry()),
		Log:      logr.Discard(),
	})
	shard := s.newShard("service", "domain")
	answer := make(chan work.Outcome, 1)
	shard.callers["c"] = caller{
		ctx:   t.Context(),
		reply: func(o work.Outcome) { answer <- o },
	}
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
	s.config.Stalls.Observe(s.config.Now().Add(stall))
	shard.apply(nil)
	assert.Equal(t, (<-answer).Reason, core.ReasonStall)
	// The shard has no peers, so an attempt to lend would panic.
	shard.lend(schedule.RunCmd{Host: "other"}, shard.now().Add(-stall))
}

// TestIdleHostKeepsCountingVotes guards against the cost of counting votes all the time at a
// host that is no home and has no jobs, and against a job that is decided there by old votes.
func TestIdleHostKeepsCountingVotes(t *testing.T) {
	self := member.Host{
		Address: "self",
		Domain:  "d",
		CPU:     200,
	}
	home := member.Host{
		Address: "home",
		Domain:  "d",
		CPU:     800,
	}
	s := newLocalScheduler(localPeers{}, &fakeServer{}, self, home)
	s.started = time.Now().Add(-listWait)
	s.Shard("service")
	s.updateOwnership()
	updatedAt := s.homesUpdatedAt
	assert.Assert(t, !updatedAt.IsZero() && !s.isHome())
	ctx, cancel := context.WithTimeout(t.Context(), 3*confirmInterval)
	defer cancel()
	s.runTicks(ctx, time.Millisecond, time.Hour)
	assert.Equal(t, s.homesUpdatedAt, updatedAt)
	msg := schedule.SubmitMsg{Job: work.Job{
		ID:       "j",
		Service:  "service",
		Deadline: time.Now(),
	}}
	s.submitOnce(t.Context(), msg)
	assert.Assert(t, s.homesUpdatedAt.After(updatedAt))
}
