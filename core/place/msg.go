package place

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/ticket"
)

// Server describes a backend server as listed by the platform.
type Server struct {
	ID          string
	Address     string // host:port
	Domain      string // failure domain
	Slots       int    // tasks that it runs concurrently
	Connections int    // connections that it accepts from all hosts together
	Size        Size
	Leaving     bool
	Evacuated   bool // its failure domain is evacuated: nothing new is sent to it
}

// Size is the declared size of a task, or the capacity of a server.
type Size struct {
	Cores        int
	Memory       int // MB
	Accelerators int
}

// Fits reports whether a task of this size fits into a capacity. An unknown
// capacity, which is zero, fits only tasks without a declared size.
func (s Size) Fits(capacity Size) bool {
	if capacity == (Size{}) {
		return s == Size{}
	}
	return s.Cores <= capacity.Cores && s.Memory <= capacity.Memory && s.Accelerators <= capacity.Accelerators
}

// Msg is an event or a request that a Model handles.
type Msg interface{ placeMsg() }

// ServersMsg replaces the list of backend servers.
type ServersMsg struct{ Servers []Server }

// SharingMsg sets how the hosts that queue for the service share its servers.
type SharingMsg struct {
	Queues          int     // hosts that queue for the service
	ConnectionShare float64 // this host's share of each server's connections
}

// WeightsMsg sets the teams' weights.
type WeightsMsg struct{ Weights map[string]float64 }

// QuotaMsg sets how many unsettled tasks each team may have at this host.
type QuotaMsg struct{ Quotas map[string]int }

// EnqueueMsg requests that the tasks of a job be queued.
type EnqueueMsg struct {
	Job      queue.Job
	Need     Size
	Deadline time.Time
}

// DoneMsg reports the result of one attempt to run a task on a server.
type DoneMsg struct {
	Ref        queue.Ref
	Server     string
	Result     Result
	Reason     core.Reason
	Idempotent bool // may be repeated even if it may have started
	Took       time.Duration
}

// RevokeMsg removes the waiting tasks of a job.
type RevokeMsg struct{ ID ticket.ID }

// TickMsg re-evaluates the servers, so that ejections can end.
type TickMsg struct{}

func (ServersMsg) placeMsg() {}
func (SharingMsg) placeMsg() {}
func (WeightsMsg) placeMsg() {}
func (QuotaMsg) placeMsg()   {}
func (EnqueueMsg) placeMsg() {}
func (DoneMsg) placeMsg()    {}
func (RevokeMsg) placeMsg()  {}
func (TickMsg) placeMsg()    {}

// Result is the outcome of one attempt to run a task on a server.
type Result uint8

// The results of an attempt.
const (
	Answered    Result = iota // a complete answer was received
	Refused                   // the server reported that it did not start the task
	NotSent                   // no byte was sent
	Interrupted               // the request may have arrived, but no complete answer was received
	Failed                    // the server answered with an error
	ErrorAnswer               // same as Failed, but the error is passed on as the answer
	Aborted                   // ended by this host; says nothing about the server
	Dropped                   // not sent because the job had ended
)

// started reports whether the task may have run.
func (r Result) started() bool {
	switch r {
	case Answered, Interrupted, Failed, ErrorAnswer, Aborted:
		return true
	case Refused, NotSent, Dropped:
	}
	return false
}

// unsettled reports whether the task still needs an answer.
func (r Result) unsettled() bool {
	switch r {
	case Refused, NotSent, Interrupted, Failed:
		return true
	case Answered, ErrorAnswer, Aborted, Dropped:
	}
	return false
}

// Cmd is a command that the caller of Update has to carry out.
type Cmd interface{ placeCmd() }

// AcceptCmd reports that the tasks of a job were queued.
type AcceptCmd struct{ ID ticket.ID }

// RefuseCmd reports that a job was refused and none of its tasks will start.
type RefuseCmd struct {
	ID         ticket.ID
	Reason     core.Reason
	RetryAfter time.Duration
}

// StartCmd requests that a task be sent to a server.
type StartCmd struct {
	Ref     queue.Ref
	Server  string
	Address string
}

// FailCmd reports that a task failed and will not be retried.
type FailCmd struct {
	Ref    queue.Ref
	Ran    core.Ran
	Reason core.Reason
}

// RetryCmd reports that a task was queued again, for the metrics.
type RetryCmd struct {
	Ref    queue.Ref
	Reason core.Reason
}

// EjectCmd reports that a server was ejected, for peers and the log.
type EjectCmd struct {
	Server string
	Reason core.Reason
}

func (AcceptCmd) placeCmd() {}
func (RefuseCmd) placeCmd() {}
func (StartCmd) placeCmd()  {}
func (FailCmd) placeCmd()   {}
func (RetryCmd) placeCmd()  {}
func (EjectCmd) placeCmd()  {}
