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

// reference is a simple reference implementation of the rules that the commands of a
// Model must follow.
type reference struct {
	sent     map[ticket.ID]map[int]bool // sent and not returned since
	finished map[ticket.ID]Outcome
	jobs     map[ticket.ID]int
}

// TestModelAgainstReference sends random messages, out of order and repeated, and
// checks each command against the reference.
func TestModelAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(own, Retention{
			Age:   time.Minute,
			Bytes: 1 << 20,
		})
		ref := reference{
			sent:     map[ticket.ID]map[int]bool{},
			finished: map[ticket.ID]Outcome{},
			jobs:     map[ticket.ID]int{},
		}
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			msg := drawMsg(t, now)
			ref.check(t, msg, m.Update(now, msg))
		}
	})
}

func drawMsg(t *rapid.T, now time.Time) Msg {
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
		return NotReceivedMsg{
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
		return RetryMsg{
			ID:    key,
			Index: index,
		}
	}
	return TickMsg{}
}

func (ref reference) check(t *rapid.T, msg Msg, cmds []Cmd) {
	if r, ok := msg.(NotReceivedMsg); ok && ref.sent[r.ID] != nil && ref.finished[r.ID].Reason == "" {
		ref.sent[r.ID][r.Index] = false
	}
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case EnqueueCmd:
			ref.jobs[cmd.ID]++
			assert.Equal(t, ref.jobs[cmd.ID], 1, "ticket accepted twice")
			ref.sent[cmd.ID] = map[int]bool{}
		case SendCmd:
			assert.Assert(t, !ref.sent[cmd.ID][cmd.Index], "task sent twice")
			_, ended := ref.finished[cmd.ID]
			assert.Assert(t, !ended, "task sent after the job finished")
			ref.sent[cmd.ID][cmd.Index] = true
		case FinishCmd:
			_, ended := ref.finished[cmd.ID]
			assert.Assert(t, !ended, "job finished twice")
			ref.finished[cmd.ID] = cmd.Outcome
			ref.checkOutcome(t, cmd)
		case ReplyCmd:
			if cmd.Outcome.Reason != core.ReasonForgotten {
				assert.DeepEqual(t, cmd.Outcome, ref.finished[cmd.ID])
			}
		case JoinCmd, DropCmd, RevokeCmd:
		}
	}
}

// checkOutcome checks an outcome against the tasks that were sent.
func (ref reference) checkOutcome(t *rapid.T, cmd FinishCmd) {
	if cmd.Outcome.Complete {
		assert.Equal(t, len(cmd.Outcome.Answers), 3)
		for i, a := range cmd.Outcome.Answers {
			assert.Equal(t, int(a.Body[0]), i, "answers in wrong order")
		}
		return
	}
	assert.Equal(t, len(cmd.Outcome.Answers), 0, "failed job has answers")
	if cmd.Outcome.Ran == core.RanNo {
		for index, sent := range ref.sent[cmd.ID] {
			assert.Assert(t, !sent, "task %d was sent, but the outcome says that none ran", index)
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
			name: "ticket of another host",
			msg: SubmitMsg{
				ID:    id(other, 1),
				Tasks: 1,
			},
			want: Failed(core.RanMaybe, core.ReasonLost),
		},
		{
			name:   "same ticket, different content",
			before: []Msg{submit},
			msg:    changed,
			want:   Failed(core.RanMaybe, core.ReasonMismatch),
		},
		{
			name: "ticket used up by a refusal",
			before: []Msg{submit, RefuseMsg{
				ID:     submit.ID,
				Reason: core.ReasonOverload,
			}},
			msg:  submit,
			want: Failed(core.RanNo, core.ReasonOverload),
		},
		{
			name: "after the retention period",
			before: []Msg{submit, RefuseMsg{
				ID:     submit.ID,
				Reason: core.ReasonOverload,
			}},
			after: time.Hour,
			msg:   submit,
			want:  Failed(core.RanMaybe, core.ReasonForgotten),
		},
		{
			name: "used ticket of a stopped host, outcome not handed over",
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

// TestAdopted checks that a successor starts a job under an unused ticket of a sealed
// host exactly once, even if the handover is repeated.
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
		l.MarkUsed(s)
	}
	return l
}

// TestRetentionBytes checks that retained outcomes stay within the size limit and that
// the oldest are evicted first.
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
		assert.Assert(t, m.RetainedBytes() <= bound)
	}
	_, _, newest := m.Lookup(id(own, 50))
	assert.Assert(t, newest)
	outcome, _, _ := m.Lookup(id(own, 1))
	assert.Equal(t, outcome.Reason, core.ReasonForgotten)
}
