package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// evacuate assigns the servers again, those named evacuated.
func (b *harness) evacuate(servers []string, evacuated ...string) []Cmd {
	assigned := entries(servers...)
	for i := range assigned {
		for _, id := range evacuated {
			assigned[i].Evacuated = assigned[i].Evacuated || assigned[i].ID == id
		}
	}
	return b.update(AssignMsg{
		Servers: assigned,
		Token:   7,
	})
}

// TestEvacuated checks that an evacuated server gets no new task, that what runs there is not
// stopped, and that the server is used again afterwards.
func TestEvacuated(t *testing.T) {
	b := newHarness(t, "s", "t")
	first := starts(b.update(RunMsg{Task: taskOf("a")}))[0]
	b.acceptStart(first.Server, first.Task.Name(), 1)
	cmds := b.evacuate([]string{"s", "t"}, first.Server)
	assert.Equal(t, len(ends(cmds))+len(stops(cmds)), 0)
	assert.Equal(t, b.model.Capacity(b.now).TotalCPU, 16000)
	for _, job := range []string{"b", "c"} {
		next := starts(b.update(RunMsg{Task: taskOf(job)}))
		assert.Equal(t, len(next), 1)
		assert.Assert(t, next[0].Server != first.Server)
	}
	refused := ends(b.update(RunMsg{Task: taskOf("d")}))
	assert.Equal(t, refused[0].End, work.EndNotStarted)
	b.advance(100 * time.Millisecond)
	done := ends(b.answerPoll(first.Server, func(msg *PollResultMsg) {
		msg.Ended = []ListedEnd{{
			Number: 1,
			Name:   first.Task.Name(),
			Run:    1,
			End:    work.EndDone,
		}}
	}))
	assert.Equal(t, done[0].End, work.EndDone)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("e")}))), 0)
	b.evacuate([]string{"s", "t"})
	assert.Equal(t, starts(b.update(RunMsg{Task: taskOf("f")}))[0].Server, first.Server)
}

// TestEvacuatedServerTakenOver checks that a new owner of an evacuated server starts nothing
// there either.
func TestEvacuatedServerTakenOver(t *testing.T) {
	b := newHarness(t)
	b.evacuate([]string{"s"}, "s")
	b.answerPoll("s")
	assert.DeepEqual(t, b.model.OwnedServers(), []string{"s"})
	assert.Equal(t, ends(b.update(RunMsg{Task: taskOf("a")}))[0].End, work.EndNotStarted)
}

// TestEvacuatedStartRepeated guards against a start that is repeated after its server was
// evacuated, which may be the order that starts the task.
func TestEvacuatedStartRepeated(t *testing.T) {
	tests := []struct {
		name   string
		result Result
		ended  bool // the answer proves that the task was not started
	}{
		{
			name:   "without an answer",
			result: Unanswered,
		},
		{
			name:   "too late",
			result: DeadlinePassed,
			ended:  true,
		},
		{
			name:   "the run's number was used",
			result: StaleRun,
			ended:  true,
		},
		{
			name:   "not sent",
			result: NotSent,
			ended:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "s")
			name := starts(b.update(RunMsg{Task: taskOf("a")}))[0].Task.Name()
			b.evacuate([]string{"s"}, "s")
			b.advance(limits.HedgeDelay + time.Millisecond)
			cmds := b.update(TickMsg{})
			cmds = append(cmds, b.update(StartedMsg{
				Server: "s",
				Name:   name,
				Run:    1,
				Result: test.result,
			})...)
			assert.Equal(t, len(starts(cmds)), 0)
			assert.Equal(t, len(stops(cmds)), 0)
			if test.ended {
				assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
				return
			}
			assert.Equal(t, len(ends(cmds)), 0)
			for range 3 {
				b.advance(limits.Lease)
				cmds = append(cmds, b.answerPoll("s")...)
				cmds = append(cmds, b.update(TickMsg{})...)
			}
			assert.Equal(t, len(starts(cmds)), 0)
			assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
			assert.Equal(t, ends(cmds)[0].Reason, core.ReasonReset)
		})
	}
}

// TestEvacuatedStartFound checks that a start without an answer that its evacuated server has
// carried out goes on.
func TestEvacuatedStartFound(t *testing.T) {
	b := newHarness(t, "s")
	name := starts(b.update(RunMsg{Task: taskOf("a")}))[0].Task.Name()
	b.evacuate([]string{"s"}, "s")
	b.update(StartedMsg{
		Server: "s",
		Name:   name,
		Run:    1,
		Result: Unanswered,
	})
	b.advance(30 * time.Millisecond)
	cmds := b.answerPoll("s", func(msg *PollResultMsg) {
		msg.Running = []ListedRun{{
			Name: name,
			Run:  1,
		}}
	})
	assert.Equal(t, len(ends(cmds))+len(stops(cmds))+len(starts(cmds)), 0)
	assert.Equal(t, b.model.Pending(), 1)
}
