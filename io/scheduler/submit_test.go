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
	"rosemarywalk/io/peer"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// scripted answers calls from a list, in turn.
type scripted struct {
	outcomes []string // states; "" is a link that broke, "-" one that can't be made, "silent" one without an answer
}

func (s *scripted) Send(context.Context, string, wire.Frame) error { return nil }

func (s *scripted) Call(ctx context.Context, _ string, _ wire.Frame) (wire.Frame, error) {
	state := s.outcomes[0]
	if len(s.outcomes) > 1 {
		s.outcomes = s.outcomes[1:]
	}
	switch state {
	case "":
		return wire.Frame{}, errors.Trace(peer.ErrBroken)
	case "-":
		return wire.Frame{}, errors.Trace(peer.ErrNoLink)
	case "silent":
		<-ctx.Done()
		return wire.Frame{}, errors.WithType(ctx.Err(), peer.ErrBroken)
	}
	return wire.Frame{Outcome: &wire.Outcome{State: state}}, nil
}

// TestForward: a refusal is passed on as "not run" only where no earlier call
// for the job may have been received.
func TestForward(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []string
		want     work.State
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
		},
		{
			name:     "the link breaks and can't be made again",
			outcomes: []string{"", "-"},
			err:      true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Parts{
				Peers:    &scripted{outcomes: test.outcomes},
				Reattach: 100 * time.Millisecond,
			})
			outcome, err := s.forward(t.Context(), "home", work.Job{})
			assert.Equal(t, err != nil, test.err)
			assert.Equal(t, outcome.State, test.want)
		})
	}
}

// TestSilentHome: the caller of a job whose home stays silent is told so in time.
func TestSilentHome(t *testing.T) {
	self := member.Host{
		Address: "self",
		Domain:  "d",
		CPU:     200,
	}
	registry := prometheus.NewRegistry()
	counters := telemetry.NewCounters(registry)
	peers := &scripted{outcomes: []string{"silent"}}
	r := roster.New(member.New(self, member.Limits{Dead: time.Minute}, rand.New(rand.NewPCG(1, 1))), peers, time.Second, time.Second, 100, 100, counters, logr.Discard())
	r.ServeBeat(t.Context(), wire.Frame{Beat: &wire.Beat{
		Host:    "home",
		Address: "home",
		Domain:  "d",
		Cores:   800,
		Count:   1,
	}})
	s := New(Parts{
		Self:     "self",
		Peers:    peers,
		Roster:   r,
		Counters: counters,
		Log:      logr.Discard(),
		Reattach: 100 * time.Millisecond,
	})
	deadline := time.Now().Add(300 * time.Millisecond)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	outcome, ok := s.Do(ctx, work.Job{
		ID:       "j",
		Service:  "s",
		Deadline: deadline,
	})
	assert.Assert(t, ok)
	assert.Equal(t, outcome.State, work.Broken)
	assert.Equal(t, outcome.Reason, core.ReasonDeadline)
	assert.Equal(t, outcome.Home, "home")
}
