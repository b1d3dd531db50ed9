package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

func unevenLimits() Limits {
	l := limits
	l.SpeedWeight = 0.04
	return l
}

// unevenHarness has servers a to d, whose runs end one after the other.
type unevenHarness struct {
	*harness

	jobs int
	ends map[string]int
}

func newUnevenHarness(t *testing.T, l Limits) *unevenHarness {
	t.Helper()
	return &unevenHarness{
		harness: newHarnessWith(t, l, "a", "b", "c", "d"),
		ends:    map[string]int{},
	}
}

// run lets a task of 100 ms on the usual server run on each server, and returns the ends.
func (u *unevenHarness) run(factors map[string]float64) []EndCmd {
	var all []EndCmd
	for range u.model.servers {
		u.jobs++
		task := taskOf(fmt.Sprint("job-", u.jobs))
		task.Size.CPU = 16000
		u.update(RunMsg{Task: task})
		u.acceptStart(u.model.serverByTask[task.Name()], task.Name(), 1)
	}
	began := u.now
	for _, s := range u.model.sortedServers() {
		id, r := s.entry.ID, s.sortedRuns()[0]
		factor := factors[id]
		if factor == 0 {
			factor = 1
		}
		u.now = began.Add(time.Duration(float64(100*time.Millisecond) * factor))
		u.ends[id]++
		all = append(all, ends(u.answerPoll(id, func(m *PollResultMsg) {
			m.Ended = []ListedEnd{{
				Number: u.ends[id],
				Name:   r.task.Name(),
				Run:    1,
				End:    work.EndDone,
			}}
		}))...)
	}
	u.now = began.Add(time.Second)
	for _, s := range u.model.sortedServers() {
		u.answerPoll(s.entry.ID)
	}
	u.update(TickMsg{})
	return all
}

func (u *unevenHarness) slots() map[string]Slot {
	slots := map[string]Slot{}
	capacity := u.model.Capacity(u.now)
	for i, s := range u.model.sortedServers() {
		slots[s.entry.ID] = capacity.Slots[i]
	}
	return slots
}

// slowA is a load in which server a takes 2.2 times as long as the others, as one at 0.55 does
// beside those at 1.2.
func slowA() map[string]float64 { return map[string]float64{"a": 2.2} }

// TestUnevenSpeeds checks that a server that is slow at all times is used by its speed rather than as
// the last one, and only for tasks that allow it.
func TestUnevenSpeeds(t *testing.T) {
	u := newUnevenHarness(t, unevenLimits())
	var last []EndCmd
	for range 20 {
		last = u.run(slowA())
	}
	slots := u.slots()
	assert.Assert(t, slots["a"].Speed < 0.65, "%g", slots["a"].Speed)
	assert.Assert(t, !slots["a"].Slow)
	assert.Assert(t, slots["b"].Speed >= 1 && slots["b"].Speed < 1.4, "%g", slots["b"].Speed)
	assert.Equal(t, u.model.Capacity(u.now).Fast, slots["b"].Speed)
	for _, e := range last {
		assert.Equal(t, e.Speed, slots[e.Server].Speed)
	}

	task := taskOf("long")
	task.MinSpeed = 1
	for range 6 {
		task.Job += "-"
		cmds := u.update(RunMsg{Task: task})
		assert.Assert(t, starts(cmds)[0].Server != "a")
	}
	task.Job, task.Size.CPU = "last", 10000
	assert.Equal(t, ends(u.update(RunMsg{Task: task}))[0].End, work.EndNotStarted)
	task.MinSpeed = 0
	assert.Equal(t, starts(u.update(RunMsg{Task: task}))[0].Server, "a")
	rate := u.model.servers["a"].releaseRate(u.now)
	assert.Assert(t, rate < 100_000*65/100, "%d released per second", rate)
}

// TestSlowForATime checks that a server that is slow for 5 s counts as slow after its first run, also
// with its speed known, and as before some seconds later.
func TestSlowForATime(t *testing.T) {
	for _, server := range []string{"a", "b"} {
		t.Run(server, func(t *testing.T) {
			u := newUnevenHarness(t, unevenLimits())
			for range 20 {
				u.run(slowA())
			}
			before := u.slots()[server].Speed
			slow := slowA()
			slow[server] = max(1, slow[server]) * 4
			u.run(slow)
			assert.Assert(t, u.slots()[server].Slow)
			for range 4 {
				u.run(slow)
			}
			for range 10 {
				u.run(slowA())
			}
			after := u.slots()[server]
			assert.Assert(t, !after.Slow)
			assert.Assert(t, after.Speed > before-0.2 && after.Speed < before+0.2, "%g, before %g", after.Speed, before)
		})
	}
}

// TestRebornServer checks that the speed of a server is forgotten when another process, or one of another
// kind, has its ID.
func TestRebornServer(t *testing.T) {
	tests := []struct {
		name   string
		reborn func(u *unevenHarness)
	}{
		{
			name: "restarted",
			reborn: func(u *unevenHarness) {
				u.answerPoll("a", restartedAt(20))
				u.answerPoll("a", restartedAt(40))
			},
		},
		{
			name: "of another kind",
			reborn: func(u *unevenHarness) {
				u.relist(func(e *listing.Server) { e.Labels = []string{"other"} })
			},
		},
		{
			name: "of another size",
			reborn: func(u *unevenHarness) {
				u.relist(func(e *listing.Server) { e.Capacity.CPU *= 2 })
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := newUnevenHarness(t, unevenLimits())
			for range 20 {
				u.run(slowA())
			}
			assert.Assert(t, u.model.servers["a"].speed < 1)
			test.reborn(u)
			assert.Equal(t, u.model.servers["a"].speed, 1.0)
		})
	}
}

// TestSpeedsOff checks that servers are equally fast without the setting.
func TestSpeedsOff(t *testing.T) {
	u := newUnevenHarness(t, limits)
	for range 20 {
		u.run(slowA())
	}
	for _, s := range u.slots() {
		assert.Equal(t, s.Speed, 1.0)
	}
	assert.Assert(t, u.slots()["a"].Slow)
}
