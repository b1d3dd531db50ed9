package job

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

// Cmd is an action that the caller of Update must execute.
type Cmd interface{ jobCmd() }

// EnqueueCmd requests that all tasks of a new job be queued.
type EnqueueCmd struct{ ID ticket.ID }

// JoinCmd reports that the job was already submitted and is still running.
type JoinCmd struct{ ID ticket.ID }

// ReplyCmd replies to one submission with an outcome, without a change of state.
type ReplyCmd struct {
	ID      ticket.ID
	Outcome Outcome
}

// SendCmd permits sending a task to a backend server once.
type SendCmd struct {
	ID     ticket.ID
	Index  int
	Server string
}

// DropCmd reports that a task must not be sent.
type DropCmd struct {
	ID    ticket.ID
	Index int
}

// RevokeCmd requests that a job's queued tasks be removed and its sent tasks aborted.
type RevokeCmd struct {
	ID   ticket.ID
	Sent []int // indexes of the tasks that were sent and not answered
}

// FinishCmd delivers a job's outcome to the waiting callers.
type FinishCmd struct {
	ID      ticket.ID
	Outcome Outcome
}

func (EnqueueCmd) jobCmd() {}
func (JoinCmd) jobCmd()    {}
func (ReplyCmd) jobCmd()   {}
func (SendCmd) jobCmd()    {}
func (DropCmd) jobCmd()    {}
func (RevokeCmd) jobCmd()  {}
func (FinishCmd) jobCmd()  {}

// Answer is a backend server's response to one task.
type Answer struct {
	Status      int    // HTTP status
	ContentType string // HTTP content type
	Body        []byte
}

// Failure describes where and why one task failed.
type Failure struct {
	Index  int
	Server string // empty if the task was not sent
	Ran    core.Ran
	Reason core.Reason
}

// Outcome is a job's final state: either complete with all answers, or failed.
type Outcome struct {
	Complete   bool
	Answers    []Answer // in task order; empty unless Complete
	Ran        core.Ran
	Reason     core.Reason
	Failures   []Failure
	RetryAfter time.Duration
}

// Failed returns a failed outcome without failures of single tasks, as for a refused
// or lost submission.
func Failed(ran core.Ran, reason core.Reason) Outcome {
	return Outcome{
		Ran:    ran,
		Reason: reason,
	}
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (o Outcome) WithRetryAfter(after time.Duration) Outcome {
	o.RetryAfter = after
	return o
}

// Size returns the approximate memory that the outcome takes, in bytes.
func (o Outcome) Size() int {
	size := outcomeBytes + failureBytes*len(o.Failures)
	for _, a := range o.Answers {
		size += answerBytes + len(a.Body) + len(a.ContentType)
	}
	return size
}

// Estimated sizes without the variable-length parts, in bytes.
const (
	outcomeBytes = 128
	failureBytes = 64
	answerBytes  = 64
)
