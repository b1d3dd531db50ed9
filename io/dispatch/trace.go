package dispatch

import (
	"time"

	"rosemarywalk/core"
)

// Event is one step in the life of a job, for operators.
type Event struct {
	At     time.Time   `json:"at"`
	Step   string      `json:"step"`
	Task   int         `json:"task"` // -1 when the step concerns the whole job
	Server string      `json:"server,omitempty"`
	Reason core.Reason `json:"reason,omitempty"`
}

// The steps that a trace knows.
const (
	stepAccepted = "accepted"
	stepRefused  = "refused"
	stepSent     = "sent"
	stepAnswered = "answered"
	stepRetried  = "retried"
	stepFailed   = "failed"
	stepFinished = "finished"
	stepJoined   = "joined"

	wholeJob = -1
	// A job of the largest size with a few retries fits.
	traceEvents = 4096
)

// trace is the bounded record of one job.
type trace struct {
	events  []Event
	dropped int
}

func (t *trace) add(e Event) {
	if len(t.events) >= traceEvents {
		t.dropped++
		return
	}
	t.events = append(t.events, e)
}
