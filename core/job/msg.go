package job

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

// Msg is something that happened to a job.
type Msg interface{ jobMsg() }

// SubmitMsg is a submission under a ticket of this incarnation.
type SubmitMsg struct {
	ID          ticket.ID
	Fingerprint uint64 // of the whole submission, to tell a resubmission from a mistake
	Tasks       int
	Idempotent  bool      // whether a task may be sent again after a start
	Deadline    time.Time // when the job fails if it isn't complete
}

// RefuseMsg says that the job was refused before any of its tasks started.
type RefuseMsg struct {
	ID         ticket.ID
	Reason     core.Reason
	RetryAfter time.Duration
}

// StartMsg asks whether a task may be sent to a backend server now.
type StartMsg struct {
	ID     ticket.ID
	Index  int
	Server string
}

// ReturnMsg says that a task was sent but provably not received.
type ReturnMsg struct {
	ID    ticket.ID
	Index int
}

// AgainMsg asks to send an idempotent task once more after a start.
type AgainMsg struct {
	ID    ticket.ID
	Index int
}

// AnswerMsg is a task's whole answer.
type AnswerMsg struct {
	ID     ticket.ID
	Index  int
	Answer Answer
}

// FailMsg is a task that won't be tried again.
type FailMsg struct {
	ID     ticket.ID
	Index  int
	Ran    core.Ran
	Reason core.Reason
}

// CancelMsg is a caller's wish to stop a job.
type CancelMsg struct {
	ID     ticket.ID
	Reason core.Reason
}

// StopMsg ends every job that still runs.
type StopMsg struct{ Reason core.Reason }

// TickMsg lets deadlines and retention pass.
type TickMsg struct{}

// AdoptMsg hands over an incarnation that was sealed: it starts nothing more.
type AdoptMsg struct {
	Incarnation ticket.Incarnation
	Ledger      *ticket.Ledger
	Outcomes    []HandoverEntry
}

// HandoverEntry is one finished job of a hand-over.
type HandoverEntry struct {
	ID          ticket.ID
	Fingerprint uint64
	Outcome     Outcome
}

func (SubmitMsg) jobMsg() {}
func (RefuseMsg) jobMsg() {}
func (StartMsg) jobMsg()  {}
func (ReturnMsg) jobMsg() {}
func (AgainMsg) jobMsg()  {}
func (AnswerMsg) jobMsg() {}
func (FailMsg) jobMsg()   {}
func (CancelMsg) jobMsg() {}
func (StopMsg) jobMsg()   {}
func (TickMsg) jobMsg()   {}
func (AdoptMsg) jobMsg()  {}
