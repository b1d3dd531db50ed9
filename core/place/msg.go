package place

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/ticket"
)

// Server is what the platform says of one backend server.
type Server struct {
	ID          string
	Address     string // host:port
	Domain      string // failure domain
	Slots       int    // tasks it runs at once
	Connections int    // connections it accepts from all hosts together
	Size        Size
	Leaving     bool
}

// Size is a declared need of a task, or the capacity of a server.
type Size struct {
	Cores        int
	Memory       int // MB
	Accelerators int
}

// Fits reports whether a need fits into a capacity; zero capacity is unknown.
func (s Size) Fits(capacity Size) bool {
	if capacity == (Size{}) {
		return s == Size{}
	}
	return s.Cores <= capacity.Cores && s.Memory <= capacity.Memory && s.Accelerators <= capacity.Accelerators
}

// Msg is something that happened to the service's tasks or servers.
type Msg interface{ placeMsg() }

// ServersMsg replaces the list of backend servers.
type ServersMsg struct{ Servers []Server }

// FleetMsg says how many queues share the servers, and how.
type FleetMsg struct {
	Queues int     // hosts that queue for the service
	Part   float64 // this host's part of each server's connections
}

// WeightsMsg sets the teams' weights.
type WeightsMsg struct{ Weights map[string]float64 }

// QuotaMsg sets how many tasks of each team may be here at once.
type QuotaMsg struct{ Quotas map[string]int }

// EnqueueMsg asks to queue a job's tasks.
type EnqueueMsg struct {
	Job      queue.Job
	Need     Size
	Deadline time.Time
}

// DoneMsg says how one send ended.
type DoneMsg struct {
	Ref    queue.Ref
	Server string
	Result Result
	Reason core.Reason
	Again  bool // may be sent again although it may have started
	Took   time.Duration
}

// RevokeMsg removes a job's waiting tasks.
type RevokeMsg struct{ ID ticket.ID }

// TickMsg lets ejections end.
type TickMsg struct{}

func (ServersMsg) placeMsg() {}
func (FleetMsg) placeMsg()   {}
func (WeightsMsg) placeMsg() {}
func (QuotaMsg) placeMsg()   {}
func (EnqueueMsg) placeMsg() {}
func (DoneMsg) placeMsg()    {}
func (RevokeMsg) placeMsg()  {}
func (TickMsg) placeMsg()    {}

// Result is how one send ended.
type Result uint8

// The results of a send.
const (
	Answered    Result = iota // a whole answer came back
	Refused                   // the server said that it did not start the task
	Unreached                 // no byte left this host
	Interrupted               // a byte may have arrived, and no whole answer came back
	Failed                    // the server answered with an error
	Errored                   // the same, and the error itself is the caller's answer
	Aborted                   // this host ended it, which tells nothing of the server
	Dropped                   // never sent: the job was over
)

// started reports whether the task may have run.
func (r Result) started() bool {
	switch r {
	case Answered, Interrupted, Failed, Errored, Aborted:
		return true
	case Refused, Unreached, Dropped:
	}
	return false
}

// unsettled reports whether the task still needs an answer.
func (r Result) unsettled() bool {
	switch r {
	case Refused, Unreached, Interrupted, Failed:
		return true
	case Answered, Errored, Aborted, Dropped:
	}
	return false
}

// Cmd is something for the caller of Update to do.
type Cmd interface{ placeCmd() }

// AcceptCmd says that the job's tasks are queued.
type AcceptCmd struct{ ID ticket.ID }

// RefuseCmd says that none of the job's tasks were queued.
type RefuseCmd struct {
	ID         ticket.ID
	Reason     core.Reason
	RetryAfter time.Duration
}

// StartCmd asks to send a task to a server.
type StartCmd struct {
	Ref     queue.Ref
	Server  string
	Address string
}

// FailCmd says that a task won't be tried again.
type FailCmd struct {
	Ref    queue.Ref
	Ran    core.Ran
	Reason core.Reason
}

// RetryCmd says that a task is queued once more, for the counters.
type RetryCmd struct {
	Ref    queue.Ref
	Reason core.Reason
}

// EjectCmd says that a server was ejected, for peers and the log.
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
