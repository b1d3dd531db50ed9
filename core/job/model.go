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
	phaseWaiting phase = iota // queued, not sent
	phaseSent                 // sent; a backend server may have received a part of it
	phaseDone                 // answered
	phaseFailed               // failed without a retry
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

// retainedOutcome is an entry of the retention list, which is ordered by age, oldest
// first.
type retainedOutcome struct {
	id   ticket.ID
	at   time.Time
	size int
}

// Retention limits the outcomes that are retained for resubmissions.
type Retention struct {
	Age   time.Duration // maximum age of an outcome
	Bytes int           // maximum total size of the outcomes of one Model
}

// Model is the state of the jobs in one shard.
type Model struct {
	retention     Retention
	ledgers       map[ticket.Incarnation]*ticket.Ledger
	adopted       map[ticket.Incarnation]bool
	records       map[ticket.ID]*record
	running       map[ticket.ID]*record
	retained      []retainedOutcome
	retainedBytes int
}

// New returns an empty Model that owns the tickets of one incarnation.
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

// Running returns the number of unfinished jobs.
func (m *Model) Running() int { return len(m.running) }

// Owns reports whether the Model is responsible for the tickets of an incarnation.
func (m *Model) Owns(inc ticket.Incarnation) bool { return m.ledgers[inc] != nil }

// Incarnations returns the incarnations whose tickets the Model owns, sorted.
func (m *Model) Incarnations() []ticket.Incarnation {
	return slices.SortedFunc(maps.Keys(m.ledgers), func(a, b ticket.Incarnation) int {
		return slices.Compare(a[:], b[:])
	})
}

// AdoptedCount returns the number of stopped incarnations that the Model has taken over.
func (m *Model) AdoptedCount() int { return len(m.adopted) }

// RetainedBytes returns the total size of the retained outcomes, in bytes.
func (m *Model) RetainedBytes() int { return m.retainedBytes }

// Update processes a message and returns the commands to execute.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case SubmitMsg:
		return m.submit(msg)
	case RefuseMsg:
		return m.refuse(now, msg)
	case StartMsg:
		return m.start(msg)
	case NotReceivedMsg:
		return m.markWaiting(msg)
	case RetryMsg:
		return m.allowRetry(msg)
	case AnswerMsg:
		return m.answer(now, msg)
	case FailMsg:
		return m.failTask(now, msg)
	case CancelMsg:
		return m.cancel(now, msg)
	case StopMsg:
		return m.cancelAll(now, m.pastDeadline(afterAllDeadlines), msg.Reason)
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
	if !ledger.MarkUsed(msg.ID.Sequence) {
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

// start is the only place where a task gets permission to be sent.
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

func (m *Model) markWaiting(msg NotReceivedMsg) []Cmd {
	r := m.running[msg.ID]
	if r != nil && r.tasks[msg.Index].phase == phaseSent {
		r.tasks[msg.Index] = task{}
	}
	return nil
}

// allowRetry permits another start of a task, for idempotent jobs only.
func (m *Model) allowRetry(msg RetryMsg) []Cmd {
	r := m.running[msg.ID]
	if r != nil && r.idempotent {
		return m.markWaiting(NotReceivedMsg(msg))
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

// failTask fails the whole job, because an outcome has either all answers or none.
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
	return m.failJob(now, r, msg.Reason, core.ReasonSibling, &first)
}

func (m *Model) cancel(now time.Time, msg CancelMsg) []Cmd {
	r := m.running[msg.ID]
	if r == nil {
		return nil
	}
	return m.failJob(now, r, msg.Reason, msg.Reason, nil)
}

// failJob ends a job that can't complete and records for each unanswered task whether
// it may have run. first is the task that caused the failure, if any.
func (m *Model) failJob(now time.Time, r *record, reason, otherReason core.Reason, first *Failure) []Cmd {
	revoke := RevokeCmd{ID: r.id}
	outcome := Failed(r.ran(), reason)
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
			Reason: otherReason,
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
	m.retain(now, r)
	return []Cmd{FinishCmd{
		ID:      r.id,
		Outcome: outcome,
	}}
}

func (m *Model) tick(now time.Time) []Cmd {
	cmds := m.cancelAll(now, m.pastDeadline(now), core.ReasonDeadline)
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

// afterAllDeadlines is a time later than any deadline.
var afterAllDeadlines = time.Unix(1<<40, 0)

// pastDeadline returns the running jobs whose deadline has passed, sorted so that a
// replay produces the same commands.
func (m *Model) pastDeadline(now time.Time) []ticket.ID {
	var ids []ticket.ID
	for id, r := range m.running {
		if !now.Before(r.deadline) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ticket.ID) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return ids
}
