package job

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

var (
	start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	own   = ticket.Incarnation{1}
	other = ticket.Incarnation{2}
)

func id(inc ticket.Incarnation, sequence uint64) ticket.ID {
	return ticket.ID{
		Incarnation: inc,
		Sequence:    sequence,
	}
}

// naive is the plainest record of what may happen to each task.
type naive struct {
	sent     map[ticket.ID]map[int]bool // out, or settled after being out
	finished map[ticket.ID]Outcome
	jobs     map[ticket.ID]int
}

// TestModelAgainstNaive sends random messages, in any order and repeated, and
// holds every command against the naive record.
func TestModelAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(own, Retention{
			Age:   time.Minute,
			Bytes: 1 << 20,
		})
		n := naive{
			sent:     map[ticket.ID]map[int]bool{},
			finished: map[ticket.ID]Outcome{},
			jobs:     map[ticket.ID]int{},
		}
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			msg := draw(t, now)
			n.check(t, msg, m.Update(now, msg))
		}
	})
}

func draw(t *rapid.T, now time.Time) Msg {
	key := id(own, uint64(rapid.IntRange(1, 3).Draw(t, "ticket")))
	index := rapid.IntRange(0, 2).Draw(t, "task")
	switch rapid.IntRange(0, 8).Draw(t, "message") {
	case 0, 1:
		return SubmitMsg{
			ID:       key,
			Tasks:    3,
			Deadline: now.Add(20 * time.Second),
		}
	case 2, 3:
		return StartMsg{
			ID:     key,
			Index:  index,
			Server: "s",
		}
	case 4:
		return ReturnMsg{
			ID:    key,
			Index: index,
		}
	case 5:
		return AnswerMsg{
			ID:     key,
			Index:  index,
			Answer: Answer{Body: []byte{byte(index)}},
		}
	case 6:
		return FailMsg{
			ID:     key,
			Index:  index,
			Ran:    core.RanMaybe,
			Reason: core.ReasonReset,
		}
	case 7:
		return AgainMsg{
			ID:    key,
			Index: index,
		}
	}
	return TickMsg{}
}

func (n naive) check(t *rapid.T, msg Msg, cmds []Cmd) {
	if r, ok := msg.(ReturnMsg); ok && n.sent[r.ID] != nil && n.finished[r.ID].Reason == "" {
		n.sent[r.ID][r.Index] = false
	}
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case EnqueueCmd:
			n.jobs[cmd.ID]++
			assert.Equal(t, n.jobs[cmd.ID], 1, "a ticket was accepted twice")
			n.sent[cmd.ID] = map[int]bool{}
		case SendCmd:
			assert.Assert(t, !n.sent[cmd.ID][cmd.Index], "task sent twice")
			_, over := n.finished[cmd.ID]
			assert.Assert(t, !over, "task sent after the job's end")
			n.sent[cmd.ID][cmd.Index] = true
		case FinishCmd:
			_, over := n.finished[cmd.ID]
			assert.Assert(t, !over, "a job ended twice")
			n.finished[cmd.ID] = cmd.Outcome
			n.checkOutcome(t, cmd)
		case ReplyCmd:
			if cmd.Outcome.Reason != core.ReasonForgotten {
				assert.DeepEqual(t, cmd.Outcome, n.finished[cmd.ID])
			}
		case JoinCmd, DropCmd, RevokeCmd:
		}
	}
}

// checkOutcome holds an outcome against what was sent.
func (n naive) checkOutcome(t *rapid.T, cmd FinishCmd) {
	if cmd.Outcome.Complete {
		assert.Equal(t, len(cmd.Outcome.Answers), 3)
		for i, a := range cmd.Outcome.Answers {
			assert.Equal(t, int(a.Body[0]), i, "answers crossed")
		}
		return
	}
	assert.Equal(t, len(cmd.Outcome.Answers), 0, "a failed job carries answers")
	if cmd.Outcome.Ran == core.RanNo {
		for index, sent := range n.sent[cmd.ID] {
			assert.Assert(t, !sent, "task %d is out, and the answer is \"not run\"", index)
		}
	}
}

func TestModelOutcomes(t *testing.T) {
	submit := SubmitMsg{
		ID:          id(own, 1),
		Fingerprint: 7,
		Tasks:       1,
		Deadline:    start.Add(time.Second),
	}
	changed := submit
	changed.Fingerprint = 8
	tests := []struct {
		name   string
		before []Msg
		after  time.Duration
		msg    SubmitMsg
		want   Outcome
	}{
		{
			name: "another host's ticket",
			msg: SubmitMsg{
				ID:    id(other, 1),
				Tasks: 1,
			},
			want: Failed(core.RanMaybe, core.ReasonLost),
		},
		{
			name:   "same ticket, other content",
			before: []Msg{submit},
			msg:    changed,
			want:   Failed(core.RanMaybe, core.ReasonMismatch),
		},
		{
			name: "refused, and spent from then on",
			before: []Msg{submit, RefuseMsg{
				ID:     submit.ID,
				Reason: core.ReasonOverload,
			}},
			msg:  submit,
			want: Failed(core.RanNo, core.ReasonOverload),
		},
		{
			name: "past the retention",
			before: []Msg{submit, RefuseMsg{
				ID:     submit.ID,
				Reason: core.ReasonOverload,
			}},
			after: time.Hour,
			msg:   submit,
			want:  Failed(core.RanMaybe, core.ReasonForgotten),
		},
		{
			name: "used ticket of a stopped host, answer not handed over",
			before: []Msg{AdoptMsg{
				Incarnation: other,
				Ledger:      ledgerOf(5),
			}},
			msg: SubmitMsg{
				ID:    id(other, 5),
				Tasks: 1,
			},
			want: Failed(core.RanMaybe, core.ReasonForgotten),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(own, Retention{
				Age:   time.Minute,
				Bytes: 1 << 20,
			})
			for _, msg := range test.before {
				m.Update(start, msg)
			}
			m.Update(start.Add(test.after), TickMsg{})
			var got Outcome
			for _, cmd := range m.Update(start.Add(test.after), test.msg) {
				switch cmd := cmd.(type) {
				case ReplyCmd:
					got = cmd.Outcome
				case FinishCmd:
					got = cmd.Outcome
				}
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestAdopted: the successor runs an unused ticket of a sealed host, once.
func TestAdopted(t *testing.T) {
	m := New(own, Retention{
		Age:   time.Minute,
		Bytes: 1 << 20,
	})
	msg := SubmitMsg{
		ID:       id(other, 6),
		Tasks:    1,
		Deadline: start.Add(time.Minute),
	}
	for range 2 {
		m.Update(start, AdoptMsg{
			Incarnation: other,
			Ledger:      ledgerOf(5),
		})
	}
	assert.DeepEqual(t, m.Update(start, msg), []Cmd{EnqueueCmd{ID: msg.ID}})
	m.Update(start, AdoptMsg{
		Incarnation: other,
		Ledger:      ledgerOf(5),
	})
	assert.DeepEqual(t, m.Update(start, msg), []Cmd{JoinCmd{ID: msg.ID}})
}

func ledgerOf(sequences ...uint64) *ticket.Ledger {
	l := ticket.NewLedger()
	for _, s := range sequences {
		l.Spend(s)
	}
	return l
}

// TestRetentionBytes: answers held stay within their bound, oldest out first.
func TestRetentionBytes(t *testing.T) {
	const bound = 10000
	m := New(own, Retention{
		Age:   time.Hour,
		Bytes: bound,
	})
	for sequence := uint64(1); sequence <= 50; sequence++ {
		key := id(own, sequence)
		m.Update(start, SubmitMsg{
			ID:       key,
			Tasks:    1,
			Deadline: start.Add(time.Minute),
		})
		m.Update(start, StartMsg{ID: key})
		m.Update(start, AnswerMsg{
			ID:     key,
			Answer: Answer{Body: make([]byte, 1000)},
		})
		assert.Assert(t, m.HeldBytes() <= bound)
	}
	_, _, newest := m.Lookup(id(own, 50))
	assert.Assert(t, newest)
	outcome, _, _ := m.Lookup(id(own, 1))
	assert.Equal(t, outcome.Reason, core.ReasonForgotten)
}
