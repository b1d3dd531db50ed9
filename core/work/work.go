package work

import (
	"strconv"
	"time"

	"rosemarywalk/core"
)

// Size is what a task takes of a backend server, or what a server has.
type Size struct {
	CPU    int // thousandths of a core
	Memory int // megabytes
	GPU    int // accelerators
}

// Fits reports whether a task of this size fits into the given room.
func (s Size) Fits(room Size) bool {
	return s.CPU <= room.CPU && s.Memory <= room.Memory && s.GPU <= room.GPU
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{
		CPU:    s.CPU + o.CPU,
		Memory: s.Memory + o.Memory,
		GPU:    s.GPU + o.GPU,
	}
}

// Minus returns what is left of a size.
func (s Size) Minus(o Size) Size {
	return Size{
		CPU:    s.CPU - o.CPU,
		Memory: s.Memory - o.Memory,
		GPU:    s.GPU - o.GPU,
	}
}

// Max returns the larger of two sizes in each respect.
func (s Size) Max(o Size) Size {
	return Size{
		CPU:    max(s.CPU, o.CPU),
		Memory: max(s.Memory, o.Memory),
		GPU:    max(s.GPU, o.GPU),
	}
}

// Step is tasks of a job that are alike.
type Step struct {
	Count     int
	Size      Size          // of each task
	Estimate  time.Duration // of each task, as its caller declared it
	DependsOn []int         // earlier steps that must be done first
	Requires  string        // label that a backend server must have; "" is any
	Affinity  string        // rack where the data lies; "" is none
	PerServer int           // most tasks on one backend server; 0 is any number
}

// Job is a submission: its steps run once, and it is answered when it ended.
type Job struct {
	ID       string
	Route    string
	Service  string
	Spec     string // passed to each task, unchanged
	Steps    []Step
	Attempts int           // failed runs of a task that fail the job
	Priority int           // 0 comes first
	Stretch  float64       // latency objective for each unit of the longest chain
	Slack    time.Duration // part of the latency objective that doesn't grow with the work
	Arrived  time.Time     // at the host that took it from its caller
	Deadline time.Time     // when the caller stops waiting
	Version  int           // configuration under which it was taken
}

// Objective returns the time by which a job should have ended, where its
// longest chain of tasks takes the given time.
func (j Job) Objective(chain time.Duration) time.Time {
	return j.Arrived.Add(time.Duration(j.Stretch*float64(chain)) + j.Slack)
}

// Task is one unit of work as it is ordered from a backend server.
type Task struct {
	Job       string
	Step      int
	Index     int
	Run       int // number of the task's start, from 1
	Size      Size
	Spec      string
	Requires  string
	Affinity  string
	PerServer int
	Expect    time.Duration // predicted run time
	Deadline  time.Time     // when its result is worth nothing any more
	Avoid     string        // backend server that failed it before
}

// Name returns the name that backend servers know the task by.
func (t Task) Name() string {
	const occurrence = ".0."
	return t.Job + occurrence + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// End is how a run of a task ended.
type End string

// The ends of a run.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // by its own or the backend server's fault
	EndStopped End = "stopped" // on an order
	EndLapsed  End = "lapsed"  // its lease ran out, or its backend server is gone
	EndNever   End = "never"   // it surely was not started
	EndUnknown End = "unknown" // it may be running still
)

// State is what became of a job.
type State string

// The states of a job that ended.
const (
	Completed State = "completed"
	Failed    State = "failed"   // a task failed too often
	Canceled  State = "canceled" // its caller canceled it
	Refused   State = "refused"  // nothing of it ran or will run
	Broken    State = "broken"   // given up after it began
)

// Outcome is a job's final answer.
type Outcome struct {
	State      State
	Reason     core.Reason
	RetryAfter time.Duration // when to come back; 0 where that doesn't help
	Home       string        // peer address of the host that coordinated the job
}
