package pool

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// Cmd is a command that the caller of Update has to carry out.
type Cmd interface{ poolCmd() }

// StartCmd orders a backend server to start a task.
type StartCmd struct {
	Server   string
	Address  string
	Task     work.Task
	Owner    string // owner of the run
	Repeated bool   // the same order was sent before
	Sent     time.Time
	Born     int64 // start time of the process that is believed to answer, in Unix milliseconds; 0 if unknown
	Token    int64
	Deadline int64 // end of the lease on the server's clock, in milliseconds
}

// StopCmd orders a backend server to stop a run.
type StopCmd struct {
	Server  string
	Address string
	Name    string
	Run     int
	Sent    time.Time
	Token   int64
}

// PollCmd requests the lists of running and ended tasks from a backend server and
// extends its lease.
type PollCmd struct {
	Server   string
	Address  string
	Serial   int
	Token    int64
	LastEnd  int           // number of the last end that was processed
	Deadline int64         // new end of the lease on the server's clock; 0 does not extend it
	Wait     time.Duration // how long the server may wait for an end before it answers
}

// EndCmd reports to the owner of a task how its run ended.
type EndCmd struct {
	Owner  string
	Task   work.Task // Run is the number of the run that ended
	End    work.End
	Proof  Proof // of the end
	Server string
	Speed  float64       // of the server, relative to the usual one; 1 if unknown
	Took   time.Duration // from the confirmation of the start until the end was learned
	Reason core.Reason
	Loss   Loss // of the server; zero if the run did not end with it
	Fate   Fate // of the server, if it is lost
}

// CapacityChangedCmd reports that the free capacity may have changed.
type CapacityChangedCmd struct{}

// LogCmd reports a change in the state of a server, for the log.
type LogCmd struct {
	Server string
	Event  string
	Detail string
}

func (StartCmd) poolCmd()           {}
func (StopCmd) poolCmd()            {}
func (PollCmd) poolCmd()            {}
func (EndCmd) poolCmd()             {}
func (CapacityChangedCmd) poolCmd() {}
func (LogCmd) poolCmd()             {}
