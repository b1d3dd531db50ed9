package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

type phase uint8

const (
	phaseWaiting phase = iota // in a queue, not sent
	phaseSent                 // a byte may have reached a backend server
	phaseDone                 // answered
	phaseFailed               // won't be tried again
)

type task struct {
	phase  phase
	server string
}

type record struct {
	id          ticket.ID
	fingerprint uint64
	idempotent  bool
	deadline    time.Time
	tasks       []task
	answers     []Answer
	missing     int
	finished    bool
	outcome     Outcome
}

// finished is one entry of the retention list, oldest first.
type finished struct {
	id   ticket.ID
	at   time.Time
	size int
}

// Retention bounds the answers held for resubmissions.
type Retention struct {
	Age   time.Duration // how long an answer is held
	Bytes int           // how much all answers of one Model may take
}

// Model is the state of the jobs in one shard.
type Model struct {
	retention Retention
	ledgers   map[ticket.Incarnation]*ticket.Ledger
	adopted   map[ticket.Incarnation]bool
	records   map[ticket.ID]*record
	running   map[ticket.ID]*record
	held      []finished
	heldBytes int
}

// New returns an empty Model that owns one incarnation's tickets.
func New(own ticket.Incarnation, retention Retention) *Model {
	return &Model{
		retention: retention,
		ledgers: map[ticket.Incarnation]*ticket.Ledger{
			own: ticket.NewLedger(),
		},
		adopted: map[ticket.Incarnation]bool{},
		records: map[ticket.ID]*record{},
		running: map[ticket.ID]*record{},
	}
}

// Running returns how many jobs aren't finished.
func (m *Model) Running() int { return len(m.running) }

// Owns reports whether the Model answers for an incarnation's tickets.
func (m *Model) Owns(inc ticket.Incarnation) bool { return m.ledgers[inc] != nil }

// Incarnations returns the incarnations that the Model answers for, sorted.
func (m *Model) Incarnations() []ticket.Incarnation {
	return slices.SortedFunc(maps.Keys(m.ledgers), func(a, b ticket.Incarnation) int {
		return slices.Compare(a[:], b[:])
	})
}

// AdoptedCount returns how many stopped incarnations the Model answers for.
func (m *Model) AdoptedCount() int { return len(m.adopted) }

// RetainedBytes returns the size of all answers held, in bytes.
func (m *Model) RetainedBytes() int { return m.heldBytes }

// Update takes one message and returns what has to be done about it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case SubmitMsg:
		return m.submit(msg)
	case RefuseMsg:
		return m.refuse(now, msg)
	case StartMsg:
		return m.start(msg)
	case ReturnMsg:
		return m.giveBack(msg)
	case AgainMsg:
		return m.again(msg)
	case AnswerMsg:
		return m.answer(now, msg)
	case FailMsg:
		return m.failTask(now, msg)
	case CancelMsg:
		return m.cancel(now, msg)
	case StopMsg:
		return m.cancelAll(now, m.overdue(endOfTime), msg.Reason)
	case TickMsg:
		return m.tick(now)
	case AdoptMsg:
		return m.adopt(now, msg)
	}
	return nil
}

func (m *Model) submit(msg SubmitMsg) []Cmd {
	ledger := m.ledgers[msg.ID.Incarnation]
	if ledger == nil {
		return reply(msg.ID, Failed(core.RanMaybe, core.ReasonLost))
	}
	if !ledger.Spend(msg.ID.Sequence) {
		return m.resubmit(msg)
	}
	r := &record{
		id:          msg.ID,
		fingerprint: msg.Fingerprint,
		idempotent:  msg.Idempotent,
		deadline:    msg.Deadline,
		tasks:       make([]task, msg.Tasks),
		answers:     make([]Answer, msg.Tasks),
		missing:     msg.Tasks,
	}
	m.records[msg.ID] = r
	m.running[msg.ID] = r
	return []Cmd{EnqueueCmd{ID: msg.ID}}
}

func (m *Model) resubmit(msg SubmitMsg) []Cmd {
	r := m.records[msg.ID]
	switch {
	case r == nil:
		return reply(msg.ID, Failed(core.RanMaybe, core.ReasonForgotten))
	case r.fingerprint != msg.Fingerprint:
		return reply(msg.ID, Failed(core.RanMaybe, core.ReasonMismatch))
	case r.finished:
		return reply(msg.ID, r.outcome)
	}
	return []Cmd{JoinCmd{ID: msg.ID}}
}

func reply(id ticket.ID, outcome Outcome) []Cmd {
	return []Cmd{ReplyCmd{
		ID:      id,
		Outcome: outcome,
	}}
}

func (m *Model) refuse(now time.Time, msg RefuseMsg) []Cmd {
	r := m.running[msg.ID]
	if r == nil {
		return nil
	}
	return m.finish(now, r, Failed(r.ran(), msg.Reason).WithRetryAfter(msg.RetryAfter))
}

// start is the one place where a task gets permission to be sent.
func (m *Model) start(msg StartMsg) []Cmd {
	r := m.running[msg.ID]
	if r == nil || r.tasks[msg.Index].phase != phaseWaiting {
		return []Cmd{DropCmd{
			ID:    msg.ID,
			Index: msg.Index,
		}}
	}
	r.tasks[msg.Index] = task{
		phase:  phaseSent,
		server: msg.Server,
	}
	return []Cmd{SendCmd(msg)}
}

func (m *Model) giveBack(msg ReturnMsg) []Cmd {
	r := m.running[msg.ID]
	if r != nil && r.tasks[msg.Index].phase == phaseSent {
		r.tasks[msg.Index] = task{}
	}
	return nil
}

// again lifts the limit of one start, for idempotent work only.
func (m *Model) again(msg AgainMsg) []Cmd {
	r := m.running[msg.ID]
	if r != nil && r.idempotent {
		return m.giveBack(ReturnMsg(msg))
	}
	return nil
}

func (m *Model) answer(now time.Time, msg AnswerMsg) []Cmd {
	r := m.running[msg.ID]
	if r == nil || r.tasks[msg.Index].phase != phaseSent {
		return nil
	}
	r.tasks[msg.Index].phase = phaseDone
	r.answers[msg.Index] = msg.Answer
	r.missing--
	if r.missing > 0 {
		return nil
	}
	return m.finish(now, r, Outcome{
		Complete: true,
		Answers:  r.answers,
		Ran:      core.RanYes,
	})
}

// failTask fails the whole job: an answer is complete or it is none.
func (m *Model) failTask(now time.Time, msg FailMsg) []Cmd {
	r := m.running[msg.ID]
	if r == nil || r.tasks[msg.Index].phase == phaseDone {
		return nil
	}
	r.tasks[msg.Index].phase = phaseFailed
	first := Failure{
		Index:  msg.Index,
		Server: r.tasks[msg.Index].server,
		Ran:    msg.Ran,
		Reason: msg.Reason,
	}
	return m.abandon(now, r, msg.Reason, core.ReasonSibling, &first)
}

func (m *Model) cancel(now time.Time, msg CancelMsg) []Cmd {
	r := m.running[msg.ID]
	if r == nil {
		return nil
	}
	return m.abandon(now, r, msg.Reason, msg.Reason, nil)
}

// abandon ends a job that can't complete, and says for each task what is known.
func (m *Model) abandon(now time.Time, r *record, why, others core.Reason, first *Failure) []Cmd {
	revoke := RevokeCmd{ID: r.id}
	outcome := Failed(r.ran(), why)
	if first != nil {
		outcome.Ran = outcome.Ran.Worse(first.Ran)
	}
	for i := range r.tasks {
		if first != nil && first.Index == i {
			outcome.Failures = append(outcome.Failures, *first)
			continue
		}
		t := r.tasks[i]
		if t.phase == phaseDone {
			continue
		}
		if t.phase == phaseSent {
			revoke.Sent = append(revoke.Sent, i)
		}
		outcome.Failures = append(outcome.Failures, Failure{
			Index:  i,
			Server: t.server,
			Ran:    t.ran(),
			Reason: others,
		})
	}
	return append([]Cmd{revoke}, m.finish(now, r, outcome)...)
}

func (t task) ran() core.Ran {
	switch t.phase {
	case phaseSent:
		return core.RanMaybe
	case phaseDone:
		return core.RanYes
	case phaseWaiting, phaseFailed:
	}
	return core.RanNo
}

func (r *record) ran() core.Ran {
	ran := core.RanNo
	for _, t := range r.tasks {
		ran = ran.Worse(t.ran())
	}
	return ran
}

func (m *Model) finish(now time.Time, r *record, outcome Outcome) []Cmd {
	delete(m.running, r.id)
	r.finished = true
	r.outcome = outcome
	r.tasks, r.answers = nil, nil
	m.hold(now, r)
	return []Cmd{FinishCmd{
		ID:      r.id,
		Outcome: outcome,
	}}
}

func (m *Model) tick(now time.Time) []Cmd {
	cmds := m.cancelAll(now, m.overdue(now), core.ReasonDeadline)
	m.evict(now)
	return cmds
}

func (m *Model) cancelAll(now time.Time, ids []ticket.ID, reason core.Reason) []Cmd {
	var cmds []Cmd
	for _, id := range ids {
		cmds = append(cmds, m.cancel(now, CancelMsg{
			ID:     id,
			Reason: reason,
		})...)
	}
	return cmds
}

// endOfTime lies after every deadline.
var endOfTime = time.Unix(1<<40, 0)

// overdue is sorted, so that a replay gives the same commands.
func (m *Model) overdue(now time.Time) []ticket.ID {
	var ids []ticket.ID
	for id, r := range m.running {
		if !now.Before(r.deadline) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ticket.ID) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return ids
}
