package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLateHostStopsRuns guards against runs that are stopped as slow, and started again
// elsewhere, because this host reads late that they have begun.
func TestLateHostStopsRuns(t *testing.T) {
	const delay = 40 * time.Millisecond
	tests := []struct {
		name  string
		delay time.Duration // of this host
		after time.Duration // when the lists are read
		want  int           // stops
	}{
		{
			name:  "on time",
			after: 200 * time.Millisecond,
			want:  1,
		},
		{
			name:  "late",
			delay: delay,
			after: 200 * time.Millisecond,
		},
		{
			name:  "late, slow",
			delay: delay,
			after: 200*time.Millisecond + delaysPerCall*delay,
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			b.acceptStart("a", "j.0.0.0", 1)
			b.update(TickMsg{Delay: test.delay})
			b.advance(test.after)
			cmds := b.answerPoll("a", func(m *PollResultMsg) {
				m.Running = []ListedRun{{
					Name: "j.0.0.0",
					Run:  1,
				}}
			})
			assert.Equal(t, len(stops(cmds)), test.want)
		})
	}
}

// TestLateHostRepeatsStops guards against stops that are ordered again because this host hasn't
// read the answer.
func TestLateHostRepeatsStops(t *testing.T) {
	const delay = 40 * time.Millisecond
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.acceptStart("a", "j.0.0.0", 1)
	assert.Equal(t, len(stops(b.update(StopMsg{Name: "j.0.0.0"}))), 1)
	b.advance(limits.AnswerTimeout)
	assert.Equal(t, len(stops(b.update(TickMsg{Delay: delay}))), 0)
	b.advance(delaysPerCall * delay)
	assert.Equal(t, len(stops(b.update(TickMsg{Delay: delay}))), 1)
}

// TestLateHostPollsMore guards against polls with a shorter wait, of all servers, because this
// host hasn't read the answers of many calls.
func TestLateHostPollsMore(t *testing.T) {
	const calls = 20
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late %t", late), func(t *testing.T) {
			b := newHarness(t, "a")
			task := taskOf("j")
			task.PredictedTime = 0
			b.update(RunMsg{Task: task})
			b.acceptStart("a", "j.0.0.0", 1)
			unanswered := func(m *PollResultMsg) { m.Result, m.Late, m.Clock, m.Born = Unanswered, late, 0, 0 }
			for range calls {
				b.answerPoll("a", unanswered)
				assert.Assert(t, b.model.servers["a"].misses > 0)
				b.advance(limits.ProbeInterval)
				b.update(TickMsg{})
				b.answerPoll("a", func(m *PollResultMsg) {
					m.Running = []ListedRun{{
						Name: "j.0.0.0",
						Run:  1,
					}}
				})
			}
			want := limits.ShortPollWait
			if late {
				want = limits.PollWait
			}
			assert.Equal(t, b.model.pollWait(b.model.servers["a"]), want)
		})
	}
}
