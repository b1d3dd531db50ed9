package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
	"rosemarywalk/internal/pick"
)

func lossesOf(cmds []Cmd) []LossCmd { return pick.OfType[LossCmd](cmds) }

// silentUntilLost leaves the polls of a server unanswered until its leases are over.
func (b *harness) silentUntilLost(id string) []Cmd {
	b.update(PollResultMsg{
		Server: id,
		Serial: b.model.servers[id].pollSerial,
		Sent:   b.now,
		Result: Unanswered,
	})
	b.advance(2 * limits.Lease)
	return b.update(TickMsg{})
}

// TestReturnedServerUnused checks that a server gets tasks again soon after its loss, also if it
// answers a poll that was sent within the millisecond of the loss.
func TestReturnedServerUnused(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.silentUntilLost("a")
	cmds := b.answerPoll("a")
	assert.Assert(t, !b.model.Idle())
	b.advance(limits.ShortPollWait)
	cmds = append(cmds, b.update(TickMsg{})...)
	assert.Equal(t, len(polls(cmds)), 1)
	b.answerPoll("a")
	assert.Assert(t, b.model.Idle())
	assert.Equal(t, len(b.model.Capacity(b.now).Slots), 1)
}

// TestLossReported checks that a lost server is reported with its tasks, and later its fate,
// but not one that drains or only lacks a run.
func TestLossReported(t *testing.T) {
	const name = "j.0.0.0"
	tests := []struct {
		name  string
		steps func(b *harness) []Cmd
		want  []Fate
	}{
		{
			name:  "silent",
			steps: func(b *harness) []Cmd { return b.silentUntilLost("a") },
			want:  []Fate{FateUnknown},
		},
		{
			name: "silent, then the same process answers",
			steps: func(b *harness) []Cmd {
				cmds := b.silentUntilLost("a")
				b.advance(time.Millisecond)
				return append(cmds, b.answerPoll("a")...)
			},
			want: []Fate{FateUnknown, FateAlive},
		},
		{
			name: "silent, then another process answers",
			steps: func(b *harness) []Cmd {
				cmds := b.silentUntilLost("a")
				b.advance(time.Millisecond)
				return append(cmds, b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 })...)
			},
			want: []Fate{FateUnknown, FateCrashed},
		},
		{
			name: "another process answers at once",
			steps: func(b *harness) []Cmd {
				return b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 })
			},
			want: []Fate{FateCrashed},
		},
		{
			name: "another process is listed",
			steps: func(b *harness) []Cmd {
				listed := entries("a")
				listed[0].StartedAtMillis = 2
				assert.Equal(b.t, len(ends(b.update(AssignMsg{Servers: listed}))), 0)
				return b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 })
			},
			want: []Fate{FateCrashed},
		},
		{
			name: "another server answers at its address",
			steps: func(b *harness) []Cmd {
				return b.answerPoll("a", func(m *PollResultMsg) { m.Result = Replaced })
			},
			want: []Fate{FateCrashed},
		},
		{
			name: "draining, then another process is listed",
			steps: func(b *harness) []Cmd {
				listed := entries("a")
				listed[0].Draining = true
				b.update(AssignMsg{Servers: listed})
				listed[0].Draining, listed[0].StartedAtMillis = false, 2
				assert.Equal(b.t, len(ends(b.update(AssignMsg{Servers: listed}))), 0)
				return b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 })
			},
		},
		{
			name: "draining, then silent",
			steps: func(b *harness) []Cmd {
				listed := entries("a")
				listed[0].Draining = true
				b.update(AssignMsg{Servers: listed})
				return b.silentUntilLost("a")
			},
		},
		{
			name:  "run missing in the lists",
			steps: func(b *harness) []Cmd { return b.missingUntilEnded("a", name) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			b.acceptStart("a", name, 1)
			b.advance(time.Millisecond)
			b.answerPoll("a", listRuns(name))
			b.advance(time.Millisecond)
			cmds := test.steps(b)
			assert.Equal(t, len(lossesOf(cmds)), len(test.want))
			for i, loss := range lossesOf(cmds) {
				assert.Equal(t, loss.Fate, test.want[i])
				assert.DeepEqual(t, loss.Tasks, []string{name})
				assert.Equal(t, loss.Loss.StartedAt, int64(1))
			}
			end := ends(cmds)[0]
			assert.Equal(t, end.End, work.EndLeaseExpired)
			assert.Equal(t, end.Loss != (Loss{}), len(test.want) > 0)
			assert.Equal(t, end.Reason == core.ReasonCrashed, len(test.want) > 0 && test.want[0] == FateCrashed)
		})
	}
}

// TestTaskInDoubtNotSuspected guards against a task that counts for no crash because its start
// was not answered before its server crashed.
func TestTaskInDoubtNotSuspected(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.advance(time.Millisecond)
	restarted := func(m *PollResultMsg) { m.Born, m.Clock = 2, 1 }
	b.answerPoll("a", restarted)
	b.advance(time.Millisecond)
	assert.Equal(t, len(lossesOf(b.answerPoll("a", restarted))), 0)
	assert.Equal(t, len(lossesOf(b.answerPoll("a", restarted))), 0)
	cmds := b.answerPoll("a", restarted)
	assert.Equal(t, len(lossesOf(cmds)), 1)
	assert.Equal(t, lossesOf(cmds)[0].Fate, FateCrashed)
	assert.Equal(t, lossesOf(cmds)[0].Loss.StartedAt, int64(1))
}

// TestLostServerGetsTasks guards against starts at a server that was silent until its leases
// ran out, while so many calls get lost that one or two misses say little.
func TestLostServerGetsTasks(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.acceptStart("a", "j.0.0.0", 1)
	b.silentUntilLost("a")
	b.model.lossRate = 2 * highLossRate
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("k")}))), 0)
	b.advance(time.Millisecond)
	b.answerPoll("a")
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("k")}))), 1)
}
