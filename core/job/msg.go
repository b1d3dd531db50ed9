package job

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

// Msg is an input of Update.
type Msg interface{ jobMsg() }

// SubmitMsg is a submission under a ticket.
type SubmitMsg struct {
	ID          ticket.ID
	Fingerprint uint64 // of the submission, to distinguish a resubmission from reuse of the ticket
	Tasks       int
	Idempotent  bool      // whether tasks may be sent again after they started
	Deadline    time.Time // time at which an incomplete job fails
}

// RefuseMsg reports that the job was refused before any of its tasks started.
type RefuseMsg struct {
	ID         ticket.ID
	Reason     core.Reason
	RetryAfter time.Duration
}

// StartMsg requests permission to send a task to a backend server.
type StartMsg struct {
	ID     ticket.ID
	Index  int
	Server string
}

// NotReceivedMsg reports that a task was sent but provably not received.
type NotReceivedMsg struct {
	ID    ticket.ID
	Index int
}

// RetryMsg requests that a task that may have started be sent again. It has an effect
// on idempotent jobs only.
type RetryMsg struct {
	ID    ticket.ID
	Index int
}

// AnswerMsg is the complete answer of a task.
type AnswerMsg struct {
	ID     ticket.ID
	Index  int
	Answer Answer
}

// FailMsg reports that a task failed and won't be retried.
type FailMsg struct {
	ID     ticket.ID
	Index  int
	Ran    core.Ran
	Reason core.Reason
}

// CancelMsg cancels a job.
type CancelMsg struct {
	ID     ticket.ID
	Reason core.Reason
}

// StopMsg cancels all running jobs.
type StopMsg struct{ Reason core.Reason }

// TickMsg fails jobs whose deadline has passed and evicts outcomes whose retention
// period is over.
type TickMsg struct{}

// AdoptMsg transfers a sealed incarnation, which starts no more tasks, to this Model.
type AdoptMsg struct {
	Incarnation ticket.Incarnation
	Ledger      *ticket.Ledger
	Outcomes    []HandoverEntry
}

// HandoverEntry is a finished job in a handover.
type HandoverEntry struct {
	ID          ticket.ID
	Fingerprint uint64
	Outcome     Outcome
}

func (SubmitMsg) jobMsg()      {}
func (RefuseMsg) jobMsg()      {}
func (StartMsg) jobMsg()       {}
func (NotReceivedMsg) jobMsg() {}
func (RetryMsg) jobMsg()       {}
func (AnswerMsg) jobMsg()      {}
func (FailMsg) jobMsg()        {}
func (CancelMsg) jobMsg()      {}
func (StopMsg) jobMsg()        {}
func (TickMsg) jobMsg()        {}
func (AdoptMsg) jobMsg()       {}
