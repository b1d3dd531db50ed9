package pool

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// Cmd is something for the caller of Update to do.
type Cmd interface{ poolCmd() }

// StartCmd orders a backend server to start a task.
type StartCmd struct {
	Server   string
	Address  string
	Task     work.Task
	Token    int64
	Deadline int64 // end of the lease on the server's clock, in milliseconds
}

// StopCmd orders a backend server to stop a run.
type StopCmd struct {
	Server  string
	Address string
	Name    string
	Run     int
	Token   int64
}

// PollCmd asks a backend server for its lists and extends its lease.
type PollCmd struct {
	Server   string
	Address  string
	Serial   int
	Token    int64
	LastEnd  int           // ends up to this number are taken note of
	Deadline int64         // 0 extends nothing
	Wait     time.Duration // for an end
}

// EndCmd tells a task's owner how its run ended.
type EndCmd struct {
	Owner  string
	Task   work.Task // with the number of the run that ended
	End    work.End
	Server string
	Took   time.Duration // from the start's acceptance to the news of its end
	Reason core.Reason
}

// RoomCmd says that the free room changed.
type RoomCmd struct{}

// NoteCmd is a change of what the pool believes of a server, for the log.
type NoteCmd struct {
	Server string
	Event  string
	Detail string
}

func (StartCmd) poolCmd() {}
func (StopCmd) poolCmd()  {}
func (PollCmd) poolCmd()  {}
func (EndCmd) poolCmd()   {}
func (RoomCmd) poolCmd()  {}
func (NoteCmd) poolCmd()  {}
