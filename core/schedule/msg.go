package schedule

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// Msg is something that happened to jobs or to the room for them.
type Msg interface{ scheduleMsg() }

// SubmitMsg is a job; Caller is who is told its outcome.
type SubmitMsg struct {
	Job    work.Job
	Caller string
	Remote bool // another host took the job from its caller
	Again  bool // the other host handed it in before, on a link that broke
}

// DropMsg says that a caller no longer waits.
type DropMsg struct{ Caller string }

// WithdrawMsg says that the last caller of a job no longer waits, where only
// its host knows.
type WithdrawMsg struct{ ID string }

// CancelMsg cancels a job for all its callers.
type CancelMsg struct{ ID string }

// RoomMsg is the room of one host's pool, the own one included. The slots are the
// scheduler's from then on.
type RoomMsg struct {
	Host string
	Room pool.Capacity
}

// GoneMsg says that a host's pool can't be used any more.
type GoneMsg struct{ Host string }

// EndMsg is how a run ended at a host's pool.
type EndMsg struct {
	Host   string
	Task   work.Task
	End    work.End
	Server string
	Took   time.Duration
	Reason core.Reason
}

// StallMsg says that this host stood still for so long that other hosts may have
// given it up, and callers may have sent their jobs elsewhere.
type StallMsg struct{}

// TickMsg lets time pass.
type TickMsg struct{}

func (SubmitMsg) scheduleMsg()   {}
func (DropMsg) scheduleMsg()     {}
func (CancelMsg) scheduleMsg()   {}
func (WithdrawMsg) scheduleMsg() {}
func (RoomMsg) scheduleMsg()     {}
func (GoneMsg) scheduleMsg()     {}
func (EndMsg) scheduleMsg()      {}
func (StallMsg) scheduleMsg()    {}
func (TickMsg) scheduleMsg()     {}

// Cmd is something for the caller of Update to do.
type Cmd interface{ scheduleCmd() }

// RunCmd asks a host's pool to run a task at once.
type RunCmd struct {
	Host string
	Task work.Task
}

// HaltCmd asks a host's pool to stop a run.
type HaltCmd struct {
	Host string
	Name string
}

// AnswerCmd gives a job's outcome to a caller.
type AnswerCmd struct {
	Caller  string
	ID      string
	Outcome work.Outcome
}

// NoteCmd is a decision about a job, for the log.
type NoteCmd struct {
	ID      string
	Event   string
	Route   string
	Reason  core.Reason
	Waiting int           // jobs in the queue
	Wait    time.Duration // estimated, until the job's last task starts
	Age     time.Duration // of the job
}

func (RunCmd) scheduleCmd()    {}
func (HaltCmd) scheduleCmd()   {}
func (AnswerCmd) scheduleCmd() {}
func (NoteCmd) scheduleCmd()   {}
