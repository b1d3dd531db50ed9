package job

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

// Cmd is something for the caller of Update to do.
type Cmd interface{ jobCmd() }

// EnqueueCmd asks to queue all tasks of a new job.
type EnqueueCmd struct{ ID ticket.ID }

// JoinCmd says that the submission is known and still running.
type JoinCmd struct{ ID ticket.ID }

// ReplyCmd answers one message with an outcome and changes nothing.
type ReplyCmd struct {
	ID      ticket.ID
	Outcome Outcome
}

// SendCmd allows one task to be sent to one backend server, once.
type SendCmd struct {
	ID     ticket.ID
	Index  int
	Server string
}

// DropCmd says that the task must not be sent.
type DropCmd struct {
	ID    ticket.ID
	Index int
}

// RevokeCmd asks to remove a job's queued tasks and abort its sent ones.
type RevokeCmd struct {
	ID   ticket.ID
	Sent []int // indexes of the tasks that are out
}

// FinishCmd announces a job's outcome to whoever waits for it.
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

// Answer is what a backend server returned for one task.
type Answer struct {
	Status      int    // HTTP status
	ContentType string // HTTP content type
	Body        []byte
}

// Failure says where and why one task failed.
type Failure struct {
	Index  int
	Server string // empty when the task was never sent
	Ran    core.Ran
	Reason core.Reason
}

// Outcome is a job's final state: complete with all answers, or failed.
type Outcome struct {
	Complete   bool
	Answers    []Answer // in task order; empty unless Complete
	Ran        core.Ran
	Reason     core.Reason
	Failures   []Failure
	RetryAfter time.Duration
}

// Failed returns an outcome without tasks: a refusal or a loss.
func Failed(ran core.Ran, reason core.Reason) Outcome {
	return Outcome{
		Ran:    ran,
		Reason: reason,
	}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (o Outcome) WithRetryAfter(after time.Duration) Outcome {
	o.RetryAfter = after
	return o
}

// Size returns the bytes that holding the outcome costs, roughly.
func (o Outcome) Size() int {
	size := outcomeBytes + failureBytes*len(o.Failures)
	for _, a := range o.Answers {
		size += answerBytes + len(a.Body) + len(a.ContentType)
	}
	return size
}

// The fixed parts of an outcome's size, in bytes.
const (
	outcomeBytes = 128
	failureBytes = 64
	answerBytes  = 64
)
