package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
	"rosemarywalk/internal/pick"
)

var limits = Limits{
	AdmitWaitFactor:     1.5,
	RefuseWaitFactor:    8,
	DemoteStartFactor:   1,
	UsefulLatencyFactor: 3,
	DemotedWaitFactor:   0.7,
	ProvisionalTimeout:  25 * time.Millisecond,
	PlacementRetryDelay: 5 * time.Millisecond,
	OutcomeRetention:    5 * time.Second,
	MaxJobs:             100,
}

const self = "self"

var epoch = time.Unix(1000, 0)

// poolWith returns the capacity of a pool of idle servers that each fit two tasks of jobOf.
func poolWith(servers int) pool.Capacity {
	capacity := pool.Capacity{
		TotalCPU:    16000 * servers,
		ReleaseRate: 140_000 * servers,
		Largest: work.Size{
			CPU:    16000 * min(servers, 1),
			Memory: 1000,
		},
	}
	for range servers {
		capacity.Slots = append(capacity.Slots, pool.Slot{Free: work.Size{
			CPU:    16000,
			Memory: 1000,
		}})
	}
	return capacity
}

func jobOf(id string, tasks int) work.Job {
	return work.Job{
		ID:    id,
		Route: "r",
		Steps: []work.Step{{
			Count:    tasks,
			Size:     work.Size{CPU: 7000},
			Estimate: 100 * time.Millisecond,
		}},
		MaxAttempts: 2,
		Stretch:     1.6,
		Slack:       60 * time.Millisecond,
		Arrived:     epoch,
		Deadline:    epoch.Add(1500 * time.Millisecond),
	}
}

func submit(j work.Job) SubmitMsg {
	return SubmitMsg{
		Job:    j,
		Caller: "caller-" + j.ID,
	}
}

func runs(cmds []Cmd) []RunCmd       { return pick.OfType[RunCmd](cmds) }
func answers(cmds []Cmd) []AnswerCmd { return pick.OfType[AnswerCmd](cmds) }
func halts(cmds []Cmd) []HaltCmd     { return pick.OfType[HaltCmd](cmds) }

func ended(run RunCmd, end work.End) EndMsg {
	return EndMsg{
		Host: run.Host,
		Task: run.Task,
		End:  end,
		Took: 100 * time.Millisecond,
	}
}

func newModel(own int) *Model {
	m := New(self, limits)
	m.Update(epoch, CapacityMsg{
		Host:     self,
		Capacity: poolWith(own),
	})
	return m
}

// TestComplete checks that a job is answered only when all its tasks are done.
func TestComplete(t *testing.T) {
	m := newModel(4)
	placed := runs(m.Update(epoch, submit(jobOf("j", 3))))
	assert.Equal(t, len(placed), 3)
	for i, run := range placed {
		got := answers(m.Update(epoch, ended(run, work.EndDone)))
		if i < 2 {
			assert.Equal(t, len(got), 0)
			continue
		}
		assert.Equal(t, got[0].Outcome.State, work.Completed)
	}
}

// TestResubmit checks that a resubmission joins the running job, or gets its outcome if it
// has ended.
func TestResubmit(t *testing.T) {
	m := newModel(4)
	placed := runs(m.Update(epoch, submit(jobOf("j", 1))))
	again := submit(jobOf("j", 1))
	again.Caller = "other"
	assert.Equal(t, len(m.Update(epoch, again)), 0)
	got := answers(m.Update(epoch, ended(placed[0], work.EndDone)))
	assert.Equal(t, len(got), 2)
	got = answers(m.Update(epoch, again))
	assert.Equal(t, got[0].Outcome.State, work.Completed)
}

// TestEnds checks the effect of each end of a run on its job.
func TestEnds(t *testing.T) {
	tests := []struct {
		name  string
		ends  []work.End
		state work.State
		runs  int // number of RunCmds after the last end
		run   int // sequence number of the next run
	}{
		{
			name: "failed once",
			ends: []work.End{work.EndFailed},
			runs: 1,
			run:  2,
		},
		{
			name:  "failed too often",
			ends:  []work.End{work.EndFailed, work.EndFailed},
			state: work.Failed,
		},
		{
			name: "stopped",
			ends: []work.End{work.EndStopped, work.EndLeaseExpired, work.EndStopped},
			runs: 1,
			run:  4,
		},
		{
			name: "never started",
			ends: []work.End{work.EndNotStarted},
			runs: 1,
			run:  1,
		},
		{
			name:  "unknown",
			ends:  []work.End{work.EndUnknown},
			state: work.Broken,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(4)
			now := epoch
			placed := runs(m.Update(now, submit(jobOf("j", 1))))
			var cmds []Cmd
			for _, end := range test.ends {
				cmds = m.Update(now, ended(placed[0], end))
				now = now.Add(limits.PlacementRetryDelay)
				cmds = append(cmds, m.Update(now, TickMsg{})...)
				if next := runs(cmds); len(next) > 0 {
					placed = next
				}
			}
			assert.Equal(t, len(runs(cmds)), test.runs)
			if test.runs > 0 {
				assert.Equal(t, placed[0].Task.Run, test.run)
				return
			}
			assert.Equal(t, answers(cmds)[0].Outcome.State, test.state)
		})
	}
}

// TestSplit checks that tasks which don't fit the own pool are sent to the hosts with the
// most free capacity.
func TestSplit(t *testing.T) {
	m := newModel(1)
	m.Update(epoch, CapacityMsg{
		Host:     "far-1",
		Capacity: poolWith(1),
	})
	m.Update(epoch, CapacityMsg{
		Host:     "far-2",
		Capacity: poolWith(2),
	})
	hosts := map[string]int{}
	for _, run := range runs(m.Update(epoch, submit(jobOf("j", 7)))) {
		hosts[run.Host]++
	}
	assert.DeepEqual(t, hosts, map[string]int{
		self:    2,
		"far-1": 1,
		"far-2": 4,
	})
}

// TestRefusedAtOnce checks that in a burst, jobs that would end too late are refused on
// arrival, with a delay after which to resubmit.
func TestRefusedAtOnce(t *testing.T) {
	m := newModel(1)
	refused := 0
	for n := range 30 {
		cmds := m.Update(epoch, submit(jobOf(fmt.Sprintf("j%02d", n), 2)))
		for _, answer := range answers(cmds) {
			assert.Equal(t, answer.Outcome.State, work.Refused)
			assert.Equal(t, answer.Outcome.Reason, core.ReasonWait)
			assert.Assert(t, answer.Outcome.RetryAfter > 0)
			refused++
		}
	}
	assert.Assert(t, refused > 10 && refused < 30, "%d refused", refused)
}

// TestNothingRefusedWithCapacity checks that no job is refused while its tasks fit on any host.
func TestNothingRefusedWithCapacity(t *testing.T) {
	m := newModel(2)
	m.Update(epoch, CapacityMsg{
		Host:     "far",
		Capacity: poolWith(8),
	})
	for n := range 10 {
		cmds := m.Update(epoch, submit(jobOf(fmt.Sprint(n), 2)))
		assert.Equal(t, len(runs(cmds)), 2)
		assert.Equal(t, len(answers(cmds)), 0)
	}
}

// TestCallerLeaves checks that the runs of a job are stopped when its caller is gone.
func TestCallerLeaves(t *testing.T) {
	m := newModel(4)
	m.Update(epoch, submit(jobOf("j", 3)))
	cmds := m.Update(epoch, CallerGoneMsg{Caller: "caller-j"})
	assert.Equal(t, len(halts(cmds)), 3)
	assert.Equal(t, len(answers(cmds)), 0)
	assert.Equal(t, m.Jobs(), 0)
}

// TestCanceled checks that a canceled job ends at once, and that a submission which
// arrives after its cancellation doesn't start.
func TestCanceled(t *testing.T) {
	m := newModel(4)
	m.Update(epoch, submit(jobOf("j", 3)))
	cmds := m.Update(epoch, CancelMsg{ID: "j"})
	assert.Equal(t, len(halts(cmds)), 3)
	assert.Equal(t, answers(cmds)[0].Outcome.State, work.Canceled)
	late := submit(jobOf("k", 3))
	late.Canceled = true
	cmds = m.Update(epoch, late)
	assert.Equal(t, len(runs(cmds)), 0)
	assert.Equal(t, answers(cmds)[0].Outcome.State, work.Canceled)
}

// TestSteps checks that a step starts only when the steps it depends on are done.
func TestSteps(t *testing.T) {
	m := newModel(4)
	job := jobOf("j", 1)
	second := job.Steps[0]
	second.DependsOn = []int{0}
	job.Steps = append(job.Steps, second)
	placed := runs(m.Update(epoch, submit(job)))
	assert.Equal(t, len(placed), 1)
	placed = runs(m.Update(epoch, ended(placed[0], work.EndDone)))
	assert.Equal(t, placed[0].Task.Step, 1)
}

// TestDeadline checks the outcome at the deadline: refused if no task was started, and
// otherwise broken, with the running tasks stopped.
func TestDeadline(t *testing.T) {
	tests := []struct {
		name     string
		capacity int
		state    work.State
	}{
		{
			name:     "began",
			capacity: 1,
			state:    work.Broken,
		},
		{
			name:  "did not begin",
			state: work.Refused,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(test.capacity)
			cmds := m.Update(epoch, submit(jobOf("j", 1)))
			cmds = append(cmds, m.Update(epoch.Add(1500*time.Millisecond), TickMsg{})...)
			assert.Equal(t, answers(cmds)[0].Outcome.State, test.state)
			assert.Equal(t, len(halts(cmds)), test.capacity)
		})
	}
}

// TestTimes checks that predictions follow measured run times, and that declared times
// are corrected by their mean error.
func TestTimes(t *testing.T) {
	var learned runTimes
	for range 200 {
		learned = learned.withRun(200*time.Millisecond, 100*time.Millisecond)
	}
	tests := []struct {
		name     string
		declared time.Duration
		want     time.Duration
	}{
		{
			name:     "as usual",
			declared: 100 * time.Millisecond,
			want:     200 * time.Millisecond,
		},
		{
			name:     "four times as long",
			declared: 400 * time.Millisecond,
			want:     400 * time.Millisecond,
		},
		{
			name: "not declared",
			want: 200 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			off := learned.predicted(test.declared) - test.want
			assert.Assert(t, off.Abs() < 2*time.Millisecond, off)
		})
	}
}

// TestTooLarge checks that a job that fits no backend server is refused at once.
func TestTooLarge(t *testing.T) {
	m := newModel(4)
	job := jobOf("j", 1)
	job.Steps[0].Size.CPU = 17000
	got := answers(m.Update(epoch, submit(job)))
	assert.Equal(t, got[0].Outcome.State, work.Refused)
	assert.Equal(t, got[0].Outcome.Reason, core.ReasonFit)
}

// TestPatience checks that a job which can't start in time isn't refused before the
// provisional timeout: a report of free capacity on another host may be in transit.
func TestPatience(t *testing.T) {
	m := newModel(1)
	m.Update(epoch, submit(jobOf("a", 2)))
	blocked := jobOf("b", 2)
	blocked.Arrived = epoch.Add(-550 * time.Millisecond)
	assert.Equal(t, len(answers(m.Update(epoch, submit(blocked)))), 0)
	now := epoch.Add(limits.ProvisionalTimeout / 2)
	cmds := m.Update(now, CapacityMsg{
		Host:     "far",
		Capacity: poolWith(1),
	})
	assert.Equal(t, len(runs(cmds)), 2)
	blocked.ID = "c"
	m.Update(now, submit(blocked))
	cmds = m.Update(now.Add(limits.ProvisionalTimeout), TickMsg{})
	assert.Equal(t, answers(cmds)[0].Outcome.State, work.Refused)
}

// TestNoObjective checks that jobs of a route without an objective, or with one that no
// job can meet, are of use until their deadline.
func TestNoObjective(t *testing.T) {
	tests := []struct {
		name    string
		stretch float64
	}{
		{
			name: "none",
		},
		{
			name:    "shorter than a run",
			stretch: 0.2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := jobOf("a", 2)
			j.Stretch, j.Slack = test.stretch, 0
			j.Arrived = epoch.Add(-time.Second)
			assert.Equal(t, len(runs(newModel(1).Update(epoch, submit(j)))), 2)
		})
	}
}

// TestLateAfterOthers checks that, after an outage, jobs that are already late wait behind
// those that can still be in time, and are served with the capacity that these leave.
func TestLateAfterOthers(t *testing.T) {
	m := newModel(1)
	placed := runs(m.Update(epoch, submit(jobOf("a", 2))))
	late := jobOf("late", 1)
	late.Arrived = epoch.Add(-300 * time.Millisecond)
	m.Update(epoch, submit(late))
	now := epoch.Add(limits.ProvisionalTimeout)
	m.Update(now, TickMsg{})
	fresh := jobOf("fresh", 1)
	fresh.Arrived = now
	m.Update(now, submit(fresh))
	cmds := m.Update(now, ended(placed[0], work.EndDone))
	assert.Equal(t, len(runs(cmds)), 0)
	report := func() CapacityMsg {
		capacity := poolWith(1)
		capacity.Slots[0].Free.CPU = 9000
		return CapacityMsg{
			Host:     self,
			Capacity: capacity,
		}
	}
	first := runs(m.Update(now, report()))
	assert.Equal(t, first[0].Task.Job, "fresh")
	second := runs(m.Update(now, report()))
	assert.Equal(t, second[0].Task.Job, "late")
}

// TestStall checks that a host that was stalled starts nothing for jobs which other hosts
// received, because these may run elsewhere by now, and continues the jobs whose callers
// it serves itself.
func TestStall(t *testing.T) {
	tests := []struct {
		name   string
		remote bool
		want   int // answers at the stall
		runs   int // tasks started afterwards
	}{
		{
			name:   "taken by another host",
			remote: true,
			want:   1,
		},
		{
			name: "taken here",
			runs: 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(1)
			msg := submit(jobOf("j", 4))
			msg.Remote = test.remote
			placed := runs(m.Update(epoch, msg))
			assert.Equal(t, len(placed), 2)
			cmds := m.Update(epoch, StallMsg{})
			assert.Equal(t, len(answers(cmds)), test.want)
			if test.want > 0 {
				assert.Equal(t, answers(cmds)[0].Outcome.State, work.Broken)
				assert.Equal(t, len(halts(cmds)), len(placed))
			}
			cmds = m.Update(epoch, CapacityMsg{
				Host:     self,
				Capacity: poolWith(1),
			})
			assert.Equal(t, len(runs(cmds)), test.runs)
		})
	}
}

// TestHandedInAgain checks that a job resubmitted after its connection broke joins the
// running job, and never starts a second time.
func TestHandedInAgain(t *testing.T) {
	again := submit(jobOf("j", 1))
	again.Caller, again.Resubmitted = "again", true
	m := newModel(4)
	cmds := m.Update(epoch, again)
	assert.Equal(t, len(runs(cmds)), 0)
	assert.Equal(t, answers(cmds)[0].Outcome.State, work.Broken)
	placed := runs(m.Update(epoch, submit(jobOf("j", 1))))
	assert.Equal(t, len(m.Update(epoch, again)), 0)
	got := answers(m.Update(epoch, ended(placed[0], work.EndDone)))
	assert.Equal(t, len(got), 2)
}

// TestLenderBacklog checks that the estimated wait of a job counts on what ends in another
// home's pool that is full, unless jobs wait there: then that home uses it itself.
func TestLenderBacklog(t *testing.T) {
	full := func(host string, backlog int) CapacityMsg {
		return CapacityMsg{
			Host: host,
			Capacity: pool.Capacity{
				TotalCPU:    14000,
				ReleaseRate: 10000,
				Largest:     work.Size{CPU: 14000},
			},
			Backlog: backlog,
		}
	}
	tests := []struct {
		name    string
		backlog int
		want    time.Duration
	}{
		{
			name: "nothing waits there",
			want: 700 * time.Millisecond,
		},
		{
			name:    "jobs wait there",
			backlog: 7000,
			want:    1400 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(self, limits)
			m.Update(epoch, full(self, 0))
			m.Update(epoch, full("far", test.backlog))
			j := newJob(epoch, jobOf("a", 2), []time.Duration{100 * time.Millisecond}, limits.UsefulLatencyFactor)
			assert.Equal(t, m.estimatedWaitBehind(epoch, j, j.backlog), test.want)
		})
	}
}
