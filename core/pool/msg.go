package pool

import (
	"time"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

// Msg is something that a pool learned or was asked for.
type Msg interface{ poolMsg() }

// OwnMsg names the backend servers that this host should hold, in full.
type OwnMsg struct {
	Servers []listing.Server
	Token   int64 // lower bound for the tokens of servers that are new
}

// RunMsg asks to run a task at once; Owner is who is told its end.
type RunMsg struct {
	Task  work.Task
	Owner string
}

// StopMsg asks to stop a run, or every run of an owner where Name is empty.
type StopMsg struct {
	Name  string
	Owner string
}

// Result is what became of an order to a backend server.
type Result uint8

// The results of orders.
const (
	Accepted   Result = iota
	Fenced            // the server has seen a higher token
	Old               // the run is not higher than one that ended there
	Late              // the order's deadline had passed
	Full              // the task doesn't fit
	Busy              // the server is unhealthy and did nothing
	Invalid           // the server doesn't understand the order
	Replaced          // another incarnation answers at the address
	Unsent            // the order never left this host
	Unanswered        // the order may have been carried out
)

// StartedMsg is the result of a StartCmd.
type StartedMsg struct {
	Server string
	Name   string
	Run    int
	Result Result
	Clock  int64 // of the server, in milliseconds; 0 without an answer
	Born   int64 // of the server; 0 when it doesn't say
}

// StoppedMsg is the result of a StopCmd.
type StoppedMsg struct {
	Server string
	Name   string
	Run    int
	Result Result
	Clock  int64
}

// ListedRun is one run in a server's list.
type ListedRun struct {
	Name    string
	Run     int
	Percent int
}

// Ended is one end in a server's list.
type Ended struct {
	Number int // rises from 1 in each incarnation of the server
	Name   string
	Run    int
	End    work.End
}

// HeldMsg is the result of a HoldCmd.
type HeldMsg struct {
	Server  string
	Serial  int
	Sent    time.Time
	Result  Result
	Clock   int64
	Born    int64
	Running []ListedRun
	Ended   []Ended
}

// TickMsg lets time pass.
type TickMsg struct{}

func (OwnMsg) poolMsg()     {}
func (RunMsg) poolMsg()     {}
func (StopMsg) poolMsg()    {}
func (StartedMsg) poolMsg() {}
func (StoppedMsg) poolMsg() {}
func (HeldMsg) poolMsg()    {}
func (TickMsg) poolMsg()    {}
