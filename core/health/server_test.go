package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func limits() Limits {
	return Limits{
		FailureThreshold: 3,
		Backoff:          time.Second,
		MaxBackoff:       4 * time.Second,
	}
}

func ejected() Server {
	s := New(limits())
	for range 3 {
		s = s.WithFailure(now)
	}
	return s
}

func TestServerState(t *testing.T) {
	tests := []struct {
		name   string
		server Server
		after  time.Duration
		want   State
	}{
		{
			name:   "new",
			server: New(limits()),
			want:   Up,
		},
		{
			name:   "two failures and a success",
			server: New(limits()).WithFailure(now).WithFailure(now).WithSuccess().WithFailure(now),
			want:   Up,
		},
		{
			name:   "three failures in a row",
			server: ejected(),
			want:   Ejected,
		},
		{
			name:   "backoff passed",
			server: ejected(),
			after:  time.Second,
			want:   Probing,
		},
		{
			name:   "probe is out",
			server: ejected().WithStart(now.Add(time.Second)),
			after:  time.Second,
			want:   Ejected,
		},
		{
			name:   "probe told nothing",
			server: ejected().WithStart(now.Add(time.Second)).WithDrop(),
			after:  time.Second,
			want:   Probing,
		},
		{
			name:   "probe failed, backoff doubled",
			server: ejected().WithStart(now.Add(time.Second)).WithFailure(now.Add(time.Second)),
			after:  2900 * time.Millisecond,
			want:   Ejected,
		},
		{
			name:   "probe answered",
			server: ejected().WithStart(now.Add(time.Second)).WithSuccess(),
			after:  time.Second,
			want:   Up,
		},
		{
			name:   "late failures don't prolong the backoff",
			server: ejected().WithFailure(now).WithFailure(now),
			after:  time.Second,
			want:   Probing,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.server.State(now.Add(test.after)), test.want)
		})
	}
}

func TestBackoffHasABound(t *testing.T) {
	s := ejected()
	at := now
	for range 10 {
		at = at.Add(time.Hour)
		s = s.WithStart(at).WithFailure(at)
	}
	assert.Equal(t, s.State(at.Add(limits().MaxBackoff-1)), Ejected)
	assert.Equal(t, s.State(at.Add(limits().MaxBackoff)), Probing)
}
