package pool

import (
	"time"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

// Msg is an event or a request that a pool handles.
type Msg interface{ poolMsg() }

// AssignMsg is the complete list of the backend servers that this host should own.
type AssignMsg struct {
	Servers []listing.Server
	Token   int64 // lower bound for the tokens of servers that are added
}

// RunMsg requests that a task be started now. Owner is notified when its run
// ends.
type RunMsg struct {
	Task  work.Task
	Owner string
}

// StopMsg requests that a run be stopped, or every run of an owner if Name is
// empty.
type StopMsg struct {
	Name  string
	Owner string
}

// ConfirmMsg reports that the callers of an owner's jobs were waiting at a given time.
type ConfirmMsg struct {
	Owner string
	Job   string // the only job confirmed; every job of the owner if empty
	At    time.Time
}

// KeepMsg sets the servers that take only tasks that name them, as room is kept there.
type KeepMsg struct{ Servers []string }

// Result is the outcome of an order to a backend server.
type Result uint8

// The results of orders.
const (
	Accepted       Result = iota
	Fenced                // the server has seen a higher token
	StaleRun              // the run number is not higher than that of a run that ended there
	DeadlinePassed        // the deadline of the order had passed
	Full                  // the task doesn't fit
	Busy                  // the server is unhealthy and did not carry out the order
	Invalid               // the server could not parse the order
	Replaced              // another incarnation answers at the address
	NotSent               // the order did not leave this host
	Unanswered            // no answer arrived; the order may have been carried out
)

// StartedMsg is the result of a StartCmd.
type StartedMsg struct {
	Server string
	Name   string
	Run    int
	Sent   time.Time // as in the command
	Result Result
	Late   bool  // without an answer: this host was late, and may not have read it
	Clock  int64 // the server's clock in milliseconds; 0 without an answer
}

// StoppedMsg is the result of a StopCmd.
type StoppedMsg struct {
	Server string
	Name   string
	Run    int
	Sent   time.Time // as in the command
	Result Result
	Late   bool // without an answer: this host was late, and may not have read it
	Clock  int64
}

// ListedRun is an entry in a server's list of running tasks.
type ListedRun struct {
	Name    string
	Run     int
	Percent int
}

// ListedEnd is an entry in a server's list of ended runs.
type ListedEnd struct {
	Number int // counts up from 1 in each incarnation of the server
	Name   string
	Run    int
	End    work.End
}

// PollResultMsg is the result of a PollCmd.
type PollResultMsg struct {
	Server  string
	Serial  int
	Sent    time.Time
	Result  Result
	Late    bool // without an answer: this host was late, and may not have read it
	Clock   int64
	Born    int64
	Running []ListedRun
	Ended   []ListedEnd
}

// TickMsg makes the pool check its time limits.
type TickMsg struct {
	Delay time.Duration // how late this host gets to its work
}

func (AssignMsg) poolMsg()     {}
func (RunMsg) poolMsg()        {}
func (StopMsg) poolMsg()       {}
func (KeepMsg) poolMsg()       {}
func (ConfirmMsg) poolMsg()    {}
func (StartedMsg) poolMsg()    {}
func (StoppedMsg) poolMsg()    {}
func (PollResultMsg) poolMsg() {}
func (TickMsg) poolMsg()       {}
