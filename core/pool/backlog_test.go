package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartRepeatedWithoutProcessorTime guards against second start orders, and so twice the
// work, while a host that gets too little processor time hasn't read the answers to the first.
func TestStartRepeatedWithoutProcessorTime(t *testing.T) {
	tests := []struct {
		name  string
		ticks []time.Duration // times between ticks after the start
		want  int             // orders that are repeated
	}{
		{
			name:  "on time",
			ticks: []time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond},
			want:  1,
		},
		{
			name:  "late",
			ticks: []time.Duration{60 * time.Millisecond, 60 * time.Millisecond},
		},
		{
			name:  "late, then on time",
			ticks: []time.Duration{60 * time.Millisecond, 10 * time.Millisecond},
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(TickMsg{})
			b.update(RunMsg{Task: taskOf("j")})
			b.cmds = nil
			for _, d := range test.ticks {
				b.advance(d)
				b.update(TickMsg{})
			}
			assert.Equal(t, len(starts(b.cmds)), test.want)
		})
	}
}
