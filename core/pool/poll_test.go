package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPollBeforeStartAnswered guards against a short poll beside each start on an empty server,
// which says nothing that the answer to the start doesn't, and has to be repeated.
func TestPollBeforeStartAnswered(t *testing.T) {
	answer := func(result Result) func(b *harness) []Cmd {
		return func(b *harness) []Cmd {
			return b.update(StartedMsg{
				Server: "a",
				Name:   "j.0.0.0",
				Run:    1,
				Result: result,
				Clock:  b.clock(),
			})
		}
	}
	tests := []struct {
		name string
		step func(b *harness) []Cmd
		want []time.Duration // waits of the polls that follow
	}{
		{
			name: "not answered yet",
			step: func(b *harness) []Cmd {
				b.advance(time.Millisecond)
				return b.update(TickMsg{})
			},
		},
		{
			name: "accepted",
			step: answer(Accepted),
			want: []time.Duration{limits.PollWait},
		},
		{
			name: "overdue",
			step: func(b *harness) []Cmd {
				b.advance(limits.HedgeDelay)
				return b.update(TickMsg{})
			},
			want: []time.Duration{limits.ShortPollWait},
		},
		{
			name: "lost",
			step: func(b *harness) []Cmd {
				answer(Unanswered)(b)
				return b.update(TickMsg{})
			},
			want: []time.Duration{0},
		},
		{
			name: "rejected",
			step: answer(Full),
			want: []time.Duration{0},
		},
		{
			name: "stopped",
			step: func(b *harness) []Cmd { return b.update(StopMsg{Name: "j.0.0.0"}) },
			want: []time.Duration{limits.ShortPollWait},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			assert.Equal(t, len(polls(b.update(RunMsg{Task: taskOf("j")}))), 0)
			var waits []time.Duration
			for _, cmd := range polls(test.step(b)) {
				waits = append(waits, cmd.Wait)
			}
			assert.DeepEqual(t, waits, test.want)
		})
	}
}
