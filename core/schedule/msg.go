package schedule

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// Msg is an event that concerns jobs or the capacity for them.
type Msg interface{ scheduleMsg() }

// SubmitMsg submits a job; Caller identifies who gets the outcome.
type SubmitMsg struct {
	Job         work.Job
	Caller      string
	Remote      bool // another host received the job from the caller
	Resubmitted bool // the other host submitted it before, on a connection that broke
	JoinOnly    bool // another home passed it on because this host announced it; never started

	Canceled bool // its cancelling was requested before; never started

	Overloaded bool // this host has no processor time for another job; not started unless it is known

	OtherService bool // the job is one of another service now; never started

	AbsentAt string // home that announced the job and doesn't know it; "" for none

	ConfirmedAt time.Time // when the caller was last known to wait; zero if unknown
}

// ConfirmMsg reports when callers were last known to wait.
type ConfirmMsg struct{ Callers []Confirmation }

// Confirmation is the time at which a caller was last known to wait.
type Confirmation struct {
	Caller string
	At     time.Time
}

// AnnouncedMsg reports the unfinished jobs that another home coordinates.
type AnnouncedMsg struct {
	Host     string
	Jobs     []string // IDs
	Complete bool     // this host asked for all of them

	Age time.Duration // of the other home's process; 0 if unknown
}

// AcknowledgedMsg reports that another home doesn't start jobs that were announced to it.
type AcknowledgedMsg struct {
	Host   string
	Jobs   []string  // IDs
	SentAt time.Time // when the announcement was sent

	Refused []string      // IDs of announced jobs that the other home coordinates itself
	Held    []string      // IDs of those that a third home has announced to it, or has runs of there
	Age     time.Duration // of the other home's process; 0 if unknown
	Votes   int           // of the hosts that the other home hears in its failure domain; 0 if it isn't a home
	HomeFor time.Duration // for how long it has been a home
}

// HomesMsg sets the homes of the service.
type HomesMsg struct {
	Hosts   []string          // other homes
	Domains map[string]string // their failure domains
	Domain  string            // that of this host
	Member  bool              // this host is a home too
	Votes   int               // of the hosts that this one hears in its failure domain
	Needed  int               // votes that a home must have so that no other one has as many; 0 if unknown
	All     int               // votes of all hosts; 0 if unknown
}

// CallerGoneMsg reports that a caller no longer waits for its job.
type CallerGoneMsg struct{ Caller string }

// WithdrawMsg reports that the last caller of a job no longer waits. It names the job,
// because only the host that received the job knows the caller.
type WithdrawMsg struct{ Queue, ID string }

// CancelMsg cancels a queue's job for all its callers.
type CancelMsg struct{ Queue, ID string }

// CapacityMsg reports the free capacity of a host's pool, the own one included. The
// scheduler takes ownership of the slots and modifies them.
type CapacityMsg struct {
	Host     string
	Capacity pool.Capacity
	Backlog  int // millicores of the tasks that wait at that host; unused for the own one
}

// EvacuatedMsg reports which backend servers of the service are in evacuated failure domains, so
// that nothing can be started on them.
type EvacuatedMsg struct {
	Own bool // those of the own failure domain
	All bool
}

// PoolGoneMsg reports that a host's pool can no longer be used.
type PoolGoneMsg struct{ Host string }

// EndMsg reports how a run in a host's pool ended.
type EndMsg struct {
	Host   string
	Task   work.Task
	End    work.End
	Server string
	Took   time.Duration
	Reason core.Reason
	Loss   pool.Loss // of the server; zero if the run did not end with it
	Fate   pool.Fate // of the server, if it is lost
}

// LendMsg reports that the own pool runs a task for another home.
type LendMsg struct {
	Home  string // "" if unknown, as with hosts of an older version
	Job   string // ID
	Owner string // of the run in the pool
}

// LentEndMsg reports how such a run ended.
type LentEndMsg struct {
	Job   string // ID
	Owner string // of the run in the pool
	End   work.End
}

// StallMsg reports that this process was stalled for so long that other hosts may have
// declared it dead, and callers may have resubmitted their jobs elsewhere.
type StallMsg struct{}

// TickMsg triggers the time-based decisions.
type TickMsg struct{}

func (SubmitMsg) scheduleMsg()       {}
func (AnnouncedMsg) scheduleMsg()    {}
func (AcknowledgedMsg) scheduleMsg() {}
func (HomesMsg) scheduleMsg()        {}
func (CallerGoneMsg) scheduleMsg()   {}
func (ConfirmMsg) scheduleMsg()      {}
func (CancelMsg) scheduleMsg()       {}
func (WithdrawMsg) scheduleMsg()     {}
func (CapacityMsg) scheduleMsg()     {}
func (EvacuatedMsg) scheduleMsg()    {}
func (PoolGoneMsg) scheduleMsg()     {}
func (EndMsg) scheduleMsg()          {}
func (LendMsg) scheduleMsg()         {}
func (LentEndMsg) scheduleMsg()      {}
func (StallMsg) scheduleMsg()        {}
func (TickMsg) scheduleMsg()         {}

// Cmd is a command for the caller of Update to execute.
type Cmd interface{ scheduleCmd() }

// RunCmd asks a host's pool to run a task immediately.
type RunCmd struct {
	Host string
	Task work.Task
}

// HaltCmd asks a host's pool to stop a run.
type HaltCmd struct {
	Host string
	Name string
}

// ConfirmCmd passes on to the own pool when the callers of a job were last known to wait.
type ConfirmCmd struct {
	Job string
	At  time.Time
}

// AskCmd asks a home for the unfinished jobs that it coordinates, until it answers or leaves.
type AskCmd struct {
	Host  string
	Until time.Time // after which the answer is not needed any more
}

// AnnounceCmd announces a job to all other homes at once.
type AnnounceCmd struct{ Job string }

// AcknowledgeCmd answers an AnnouncedMsg: no task of the jobs is started here until the
// announcement expires. Jobs that are neither acknowledged nor refused were announced by a
// third home, or the own pool has runs of them for one.
type AcknowledgeCmd struct {
	Jobs    []string // IDs
	Refused []string // IDs of those that this home coordinates
}

// AnswerCmd sends a job's outcome to a caller.
type AnswerCmd struct {
	Caller  string
	ID      string
	Outcome work.Outcome
}

// LogCmd logs a decision about a job.
type LogCmd struct {
	ID      string
	Event   string
	Route   string
	Reason  core.Reason
	Waiting int           // jobs in the queue
	Wait    time.Duration // estimated time until the job's last task starts
	Age     time.Duration // time since the job arrived
	Detail  string
}

func (RunCmd) scheduleCmd()         {}
func (HaltCmd) scheduleCmd()        {}
func (ConfirmCmd) scheduleCmd()     {}
func (AskCmd) scheduleCmd()         {}
func (AnnounceCmd) scheduleCmd()    {}
func (AcknowledgeCmd) scheduleCmd() {}
func (AnswerCmd) scheduleCmd()      {}
func (LogCmd) scheduleCmd()         {}
