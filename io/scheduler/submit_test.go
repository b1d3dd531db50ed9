package scheduler

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/member"
	"rosemarywalk/core/work"
	"rosemarywalk/io/late"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// scriptedPeers answers calls from a list, in order; the last entry repeats.
type scriptedPeers struct {
	outcomes []string // states, or "" for a broken link, "-" for a failed connection, "silent" for no answer
}

func (s *scriptedPeers) Send(context.Context, string, wire.Frame) error { return nil }

func (s *scriptedPeers) Reachable(string) {}

func (s *scriptedPeers) Call(ctx context.Context, _ string, _ wire.Frame) (wire.Frame, error) {
	state := s.outcomes[0]
	if len(s.outcomes) > 1 {
		s.outcomes = s.outcomes[1:]
	}
	switch state {
	case "":
		return wire.Frame{}, errors.Trace(peer.ErrLinkClosed)
	case "-":
		return wire.Frame{}, errors.Trace(peer.ErrNoLink)
	case "silent":
		<-ctx.Done()
		return wire.Frame{}, errors.WithType(ctx.Err(), peer.ErrLinkClosed)
	}
	return wire.Frame{Outcome: &wire.Outcome{State: state}}, nil
}

// TestForward checks that a refusal counts as "not run" only if no earlier call for the
// job may have reached the home, and that a job that is broken by that has a reason.
func TestForward(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []string
		join     bool
		want     work.State
		reason   core.Reason
		err      bool
	}{
		{
			name:     "answered",
			outcomes: []string{"completed"},
			want:     work.Completed,
		},
		{
			name:     "refused",
			outcomes: []string{"refused"},
			want:     work.Refused,
		},
		{
			name:     "the link breaks, and the home still has the job",
			outcomes: []string{"", "completed"},
			want:     work.Completed,
		},
		{
			name:     "the link breaks, and a home that restarted refuses",
			outcomes: []string{"", "refused"},
			want:     work.Broken,
			reason:   core.ReasonLink,
		},
		{
			name:     "the link breaks and can't be made again",
			outcomes: []string{"", "-"},
			err:      true,
		},
		{
			name:     "absent at the home that announced it",
			outcomes: []string{"absent"},
			join:     true,
			want:     work.Absent,
		},
		{
			name:     "the link breaks, and the home that announced it restarted",
			outcomes: []string{"", "absent"},
			join:     true,
			want:     work.Broken,
			reason:   core.ReasonLink,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{
				Peers:    &scriptedPeers{outcomes: test.outcomes},
				Reattach: 100 * time.Millisecond,
			})
			outcome, err := s.forward(t.Context(), "home", work.Job{}, test.join)
			assert.Equal(t, err != nil, test.err)
			assert.Equal(t, outcome.State, test.want)
			assert.Equal(t, outcome.Reason, test.reason)
		})
	}
}

// TestSilentHome checks that a caller is answered before its deadline when the home
// doesn't answer, and at once if the deadline has passed.
func TestSilentHome(t *testing.T) {
	self := member.Host{
		Address: "self",
		Domain:  "d",
		CPU:     200,
	}
	registry := prometheus.NewRegistry()
	counters := telemetry.NewCounters(registry)
	peers := &scriptedPeers{outcomes: []string{"silent"}}
	r := roster.New(member.New(self, member.Limits{DeadAfter: time.Minute}, rand.New(rand.NewPCG(1, 1))), peers, time.Second, time.Second, 100, 100, 100, counters, logr.Discard())
	r.ServeBeat(t.Context(), wire.Frame{Beat: &wire.Beat{
		Host:    "home",
		Address: "home",
		Domain:  "d",
		Cores:   800,
		Count:   1,
	}})
	s := New(Config{
		Self:     "self",
		Peers:    peers,
		Roster:   r,
		Counters: counters,
		Log:      logr.Discard(),
		Reattach: 100 * time.Millisecond,
	})
	tests := []struct {
		name string
		wait time.Duration
		want work.Outcome
	}{
		{
			name: "before the deadline",
			wait: 300 * time.Millisecond,
			want: work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonDeadline,
				Home:   "home",
			},
		},
		{
			name: "after the deadline",
			want: work.Outcome{
				State:      work.Refused,
				Reason:     core.ReasonDeadline,
				RetryAfter: lateRetryAfter,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			deadline := time.Now().Add(test.wait)
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			outcome, ok := s.Do(ctx, work.Job{
				ID:       "j",
				Service:  "s",
				Deadline: deadline,
			})
			assert.Assert(t, ok)
			assert.Equal(t, outcome, test.want)
		})
	}
}

// TestLateHostRefusesResent guards against a job that is said not to run by a host that is late,
// although its home may run it because of an earlier attempt.
func TestLateHostRefusesResent(t *testing.T) {
	tests := []struct {
		name  string
		first bool
		want  work.State
	}{
		{
			name:  "first attempt",
			first: true,
			want:  work.Refused,
		},
		{
			name: "resent",
			want: work.Completed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newLocalScheduler(localPeers{}, &fakeServer{}, member.Host{
				Address: "self",
				Domain:  "d",
				CPU:     200,
			}, member.Host{
				Address: "home",
				Domain:  "d",
				CPU:     800,
			})
			s.config.Peers = &scriptedPeers{outcomes: []string{"completed"}}
			s.load = newLoad(time.Millisecond, late.New())
			now := time.Now()
			for range 3 {
				s.load.controller = s.load.controller.WithDelay(now, time.Second)
			}
			for s.load.admit() {
				continue
			}
			outcome, ok := s.Do(t.Context(), work.Job{
				ID:       "j",
				Service:  "s",
				First:    test.first,
				Deadline: now.Add(time.Minute),
			})
			assert.Assert(t, ok)
			assert.Equal(t, outcome.State, test.want)
		})
	}
}
