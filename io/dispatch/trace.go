package dispatch

import (
	"time"

	"rosemarywalk/core"
)

// Event is one step in the processing of a job, as operators see it.
type Event struct {
	At     time.Time   `json:"at"`
	Step   string      `json:"step"`
	Task   int         `json:"task"` // -1 when the step concerns the whole job
	Server string      `json:"server,omitempty"`
	Reason core.Reason `json:"reason,omitempty"`
}

// Steps of a trace.
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
	// Enough for a job of the maximum size with a few retries.
	maxTraceEvents = 4096
)

// trace records the events of one job, up to maxTraceEvents.
type trace struct {
	events  []Event
	dropped int
}

func (t *trace) add(e Event) {
	if len(t.events) >= maxTraceEvents {
		t.dropped++
		return
	}
	t.events = append(t.events, e)
}
