package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/work"
)

// TestKeptServer checks that a server on which room is kept takes only tasks that name it, of this
// host and of others.
func TestKeptServer(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.update(KeepMsg{Servers: []string{"a"}})
	for _, slot := range b.model.Capacity(b.now).Slots {
		assert.Equal(t, slot.Kept, slot.Server == "a")
	}
	for _, owner := range []string{"", "lent:1"} {
		cmds := b.update(RunMsg{
			Task:  taskOf("other" + owner),
			Owner: owner,
		})
		assert.Equal(t, starts(cmds)[0].Server, "b")
	}
	cmds := b.update(RunMsg{Task: taskOf("none left")})
	assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
	named := taskOf("named")
	named.Server = "a"
	assert.Equal(t, starts(b.update(RunMsg{Task: named}))[0].Server, "a")
	b.update(KeepMsg{})
	assert.Equal(t, starts(b.update(RunMsg{Task: taskOf("later")}))[0].Server, "a")
}

// TestPredictedEnds checks the order, the number and the times of the predicted ends. A run past its
// prediction ends the later, the longer it is overdue.
func TestPredictedEnds(t *testing.T) {
	const ms = time.Millisecond
	l := limits
	l.MaxEnds = 2
	tests := []struct {
		name      string
		predicted []time.Duration
		elapsed   time.Duration
		in        []time.Duration
	}{
		{
			name:      "in order",
			predicted: []time.Duration{300 * ms, 100 * ms},
			elapsed:   50 * ms,
			in:        []time.Duration{50 * ms, 250 * ms},
		},
		{
			name:      "due",
			predicted: []time.Duration{100 * ms},
			elapsed:   100 * ms,
			in:        []time.Duration{10 * ms},
		},
		{
			name:      "overdue",
			predicted: []time.Duration{100 * ms},
			elapsed:   250 * ms,
			in:        []time.Duration{150 * ms},
		},
		{
			name:      "unknown",
			predicted: []time.Duration{0},
			elapsed:   250 * ms,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarnessWith(t, l, "a")
			for i, predicted := range test.predicted {
				task := taskOf("job")
				task.Index, task.PredictedTime, task.Size.CPU = i, predicted, 8000
				b.update(RunMsg{Task: task})
			}
			b.advance(test.elapsed)
			capacity := b.model.Capacity(b.now)
			slots := append(capacity.Slots, capacity.Full...)
			assert.Equal(t, len(slots), 1)
			assert.Equal(t, len(slots[0].Ends), len(test.in))
			for i, e := range slots[0].Ends {
				assert.Equal(t, e.In, test.in[i])
				assert.Equal(t, e.Size.CPU, 8000)
			}
		})
	}
}
