package work

import (
	"strconv"
	"time"

	"rosemarywalk/core"
)

// Size is the resources that a task needs or that a backend server has.
type Size struct {
	CPU    int // millicores
	Memory int // MB
	GPU    int // accelerators
}

// Fits reports whether s fits into the free resources of a server.
func (s Size) Fits(free Size) bool {
	return s.CPU <= free.CPU && s.Memory <= free.Memory && s.GPU <= free.GPU
}

// Add returns s + o.
func (s Size) Add(o Size) Size {
	return Size{
		CPU:    s.CPU + o.CPU,
		Memory: s.Memory + o.Memory,
		GPU:    s.GPU + o.GPU,
	}
}

// Sub returns s - o.
func (s Size) Sub(o Size) Size {
	return Size{
		CPU:    s.CPU - o.CPU,
		Memory: s.Memory - o.Memory,
		GPU:    s.GPU - o.GPU,
	}
}

// Max returns the component-wise maximum of s and o.
func (s Size) Max(o Size) Size {
	return Size{
		CPU:    max(s.CPU, o.CPU),
		Memory: max(s.Memory, o.Memory),
		GPU:    max(s.GPU, o.GPU),
	}
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count        int
	Size         Size          // of each task
	Estimate     time.Duration // run time of each task, as declared by the caller
	DependsOn    []int         // indexes of earlier steps that must complete first
	Requires     string        // label that the backend server must have; "" for none
	Affinity     string        // rack that holds the data; "" for none
	MaxPerServer int           // maximum tasks on one backend server; 0 for no limit
}

// Job is a submission. Its steps run once, and its caller gets the outcome when it has
// ended.
type Job struct {
	ID          string
	Queue       string // to which it was submitted; the service and the name of its route may change
	Route       string
	Service     string
	Spec        string // passed to each task unchanged
	Steps       []Step
	MaxAttempts int           // failed runs of one task after which the job fails
	Priority    int           // lower values first
	Stretch     float64       // latency objective per unit of the critical path
	Slack       time.Duration // fixed part of the latency objective
	Arrived     time.Time     // at the host that received it from the caller
	Received    time.Time     // when that host received this attempt, on this host's clock, or earlier
	First       bool          // its caller seems not to have submitted it before
	Deadline    time.Time     // time at which the caller stops waiting
	Version     int           // version of the configuration under which it was accepted
}

// CriticalPath returns the duration of the longest chain of dependent steps, given that
// of a task of each step.
func (j Job) CriticalPath(tasks []time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var start time.Duration
		for _, dependency := range s.DependsOn {
			if dependency < i {
				start = max(start, ends[dependency])
			}
		}
		ends[i] = start + tasks[i]
		longest = max(longest, ends[i])
	}
	return longest
}

// DeclaredPath returns the critical path by the declared run times.
func (j Job) DeclaredPath() time.Duration {
	declared := make([]time.Duration, 0, len(j.Steps))
	for _, s := range j.Steps {
		declared = append(declared, s.Estimate)
	}
	return j.CriticalPath(declared)
}

// Objective returns the time by which the job should have ended, given the duration of
// its critical path.
func (j Job) Objective(criticalPath time.Duration) time.Time {
	return j.Arrived.Add(time.Duration(j.Stretch*float64(criticalPath)) + j.Slack)
}

// Task is one unit of work as it is sent to a backend server.
type Task struct {
	Job           string
	Step          int
	Index         int
	Run           int // sequence number of the task's run, from 1
	Submission    int // number of the job's submission at the host that coordinates it
	Size          Size
	Spec          string
	Requires      string
	Affinity      string
	MaxPerServer  int
	PredictedTime time.Duration // predicted run time
	Deadline      time.Time     // time after which its result is of no use
	ConfirmedAt   time.Time     // when the job's caller was last known to wait for it, on this host's clock
	MinSpeed      float64       // slowest backend server that may run it, relative to the usual one; 0 for any
	AvoidServer   string        // backend server on which an earlier run failed or was stopped; ranked last
	Server        string        // backend server on which room is kept that the task may take; "" for any other
	Suspect       bool          // backend servers were lost that may have run it
}

// Name returns the name under which backend servers know the task.
func (t Task) Name() string {
	const occurrence = ".0."
	return t.Job + occurrence + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// End says how a run of a task ended.
type End string

// Ends of a run.
const (
	EndDone         End = "done"
	EndFailed       End = "failed"  // the task or its backend server failed
	EndStopped      End = "stopped" // stopped on request
	EndLeaseExpired End = "lapsed"  // its lease expired, or its backend server is gone
	EndNotStarted   End = "never"   // definitely not started
	EndUnknown      End = "unknown" // may still be running
)

// State is the final state of a job.
type State string

// States of a job that has ended.
const (
	Completed State = "completed"
	Failed    State = "failed"   // a task failed as often as the job allows
	Canceled  State = "canceled" // canceled by its caller
	Refused   State = "refused"  // no task ran or will run
	Broken    State = "broken"   // given up after a task was started
)

// States of a submission to a host that doesn't coordinate the job. Callers don't see them.
const (
	Elsewhere State = "elsewhere" // another home coordinates the job
	Absent    State = "absent"    // unknown to the home that it was to be joined at
)

// Outcome is the final result of a job.
type Outcome struct {
	State      State
	Reason     core.Reason
	RetryAfter time.Duration // delay after which the caller may resubmit; 0 if resubmitting doesn't help
	Home       string        // peer address of the host that coordinated the job, or coordinates it if Elsewhere
}
