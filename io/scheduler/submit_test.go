package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/wire"
)

// scripted answers calls from a list, in turn.
type scripted struct {
	outcomes []string // states; "" is a link that broke, "-" one that can't be made
}

func (s *scripted) Send(context.Context, string, wire.Frame) error { return nil }

func (s *scripted) Call(context.Context, string, wire.Frame) (wire.Frame, error) {
	state := s.outcomes[0]
	if len(s.outcomes) > 1 {
		s.outcomes = s.outcomes[1:]
	}
	switch state {
	case "":
		return wire.Frame{}, errors.Trace(peer.ErrBroken)
	case "-":
		return wire.Frame{}, errors.Trace(peer.ErrNoLink)
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
