package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

func lossOf(server string, fate pool.Fate, tasks ...string) LossMsg {
	return LossMsg{
		Loss: pool.Loss{
			Server:    server,
			StartedAt: 1,
			SeenAt:    1,
		},
		Fate:  fate,
		Tasks: tasks,
	}
}

// TestCulprit checks after which losses a task is suspected, has to wait, or is not started
// again.
func TestCulprit(t *testing.T) {
	const a, b, c = "a.0.0.0", "b.0.0.0", "c.0.0.0"
	tests := []struct {
		name     string
		losses   []LossMsg
		suspect  bool
		blocked  bool
		culprits int
	}{
		{
			name: "none",
		},
		{
			name:    "a server lost",
			losses:  []LossMsg{lossOf("s", pool.FateUnknown, a)},
			suspect: true,
		},
		{
			name:   "which returns",
			losses: []LossMsg{lossOf("s", pool.FateUnknown, a), lossOf("s", pool.FateAlive)},
		},
		{
			name:   "which has returned before its loss is reported",
			losses: []LossMsg{lossOf("s", pool.FateAlive, a), lossOf("s", pool.FateUnknown, a)},
		},
		{
			name:    "a crash, reported twice",
			losses:  []LossMsg{lossOf("s", pool.FateCrashed, a), lossOf("s", pool.FateCrashed, a)},
			suspect: true,
		},
		{
			name: "a crash, noticed by two owners",
			losses: []LossMsg{lossOf("s", pool.FateCrashed, a), {
				Loss: pool.Loss{
					Server:    "s",
					StartedAt: 1,
					SeenAt:    2,
				},
				Fate:  pool.FateCrashed,
				Tasks: []string{a},
			}},
			suspect: true,
		},
		{
			name:    "a crash and a loss",
			losses:  []LossMsg{lossOf("s", pool.FateCrashed, a), lossOf("t", pool.FateUnknown, a)},
			suspect: true,
			blocked: true,
		},
		{
			name:     "two crashes",
			losses:   []LossMsg{lossOf("s", pool.FateCrashed, a), lossOf("t", pool.FateUnknown, a), lossOf("t", pool.FateCrashed)},
			suspect:  true,
			blocked:  true,
			culprits: 1,
		},
		{
			name:     "crashes beside a task under which two servers crash",
			losses:   []LossMsg{lossOf("s", pool.FateCrashed, a, b), lossOf("t", pool.FateCrashed, b)},
			culprits: 1,
		},
		{
			name:     "one of two crashes beside such a task",
			losses:   []LossMsg{lossOf("s", pool.FateCrashed, a, b), lossOf("t", pool.FateCrashed, b), lossOf("u", pool.FateCrashed, a, c)},
			suspect:  true,
			culprits: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSuspects()
			culprits := 0
			for _, msg := range test.losses {
				culprits += len(s.add(epoch, msg))
			}
			suspect, blocked := s.suspected(a)
			assert.Equal(t, suspect, test.suspect)
			assert.Equal(t, blocked, test.blocked)
			assert.Equal(t, culprits, test.culprits)
		})
	}
}

// TestCulpritStartedAgain guards against a further start of a task under which two servers
// crashed, also when its job is submitted again or elsewhere.
func TestCulpritStartedAgain(t *testing.T) {
	m := newModel(4)
	job := jobOf("j", 1)
	job.Deadline = epoch.Add(time.Minute)
	run := runs(m.Update(epoch, submit(job)))[0]
	crash := func(server string) []Cmd {
		end := ended(run, work.EndLeaseExpired)
		end.Server = server
		end.Loss, end.Fate = lossOf(server, 0).Loss, pool.FateCrashed
		return m.Update(epoch, end)
	}
	again := runs(crash("s"))
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Task.Suspect)
	run = again[0]
	cmds := crash("t")
	assert.Equal(t, len(runs(cmds)), 0)
	assert.DeepEqual(t, answers(cmds)[0].Outcome, crashesOutcome())
	later := epoch.Add(limits.OutcomeRetention + time.Second)
	m.Update(later, TickMsg{})
	assert.DeepEqual(t, answers(m.Update(later, submit(job)))[0].Outcome, crashesOutcome())

	elsewhere := newModel(4)
	for _, msg := range m.Losses() {
		elsewhere.Update(epoch, msg)
	}
	assert.DeepEqual(t, answers(elsewhere.Update(epoch, submit(job)))[0].Outcome, crashesOutcome())
	assert.Equal(t, crashesOutcome().Reason, core.ReasonCrashes)
}

// TestCrashesReportedAsFailed guards against a job that is reported as failed although none of
// its runs has: its servers crashed under runs that may not even have started.
func TestCrashesReportedAsFailed(t *testing.T) {
	tests := []struct {
		name string
		end  work.End
	}{
		{
			name: "lost runs",
			end:  work.EndLeaseExpired,
		},
		{
			name: "runs that never started",
			end:  work.EndNotStarted,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(4)
			job := jobOf("j", 1)
			job.MaxAttempts = 2
			cmds := m.Update(epoch, submit(job))
			now := epoch
			for _, server := range []string{"s", "t"} {
				end := ended(runs(cmds)[0], test.end)
				end.Server = server
				end.Loss, end.Fate = lossOf(server, 0).Loss, pool.FateCrashed
				cmds = m.Update(now, end)
				now = now.Add(time.Second)
				if len(answers(cmds)) == 0 && len(runs(cmds)) == 0 {
					cmds = m.Update(now, TickMsg{})
				}
			}
			assert.Equal(t, answers(cmds)[0].Outcome.State, work.Broken)
			assert.Equal(t, answers(cmds)[0].Outcome.Reason, core.ReasonCrashes)
		})
	}
}

// TestRunningCulprit checks that a home that learns of crashes aborts a job that it runs.
func TestRunningCulprit(t *testing.T) {
	m := newModel(4)
	m.Update(epoch, submit(jobOf("j", 2)))
	m.Update(epoch, lossOf("s", pool.FateCrashed, "j.0.0.0"))
	cmds := m.Update(epoch, lossOf("t", pool.FateCrashed, "j.0.0.0"))
	assert.Equal(t, len(halts(cmds)), 2)
	assert.DeepEqual(t, answers(cmds)[0].Outcome, crashesOutcome())
}

// TestSuspectWaits checks that a task waits while it can't be known whether two servers crashed
// under it, and is started when one of them has not.
func TestSuspectWaits(t *testing.T) {
	m := newModel(4)
	m.Update(epoch, lossOf("s", pool.FateUnknown, "j.0.0.0"))
	m.Update(epoch, lossOf("t", pool.FateCrashed, "j.0.0.0"))
	assert.Equal(t, len(runs(m.Update(epoch, submit(jobOf("j", 1))))), 0)
	assert.Equal(t, len(runs(m.Update(epoch, lossOf("s", pool.FateAlive)))), 1)
}

// TestReplaced checks that a later process of a lost server shows that it has crashed.
func TestReplaced(t *testing.T) {
	m := newModel(1)
	m.Update(epoch, lossOf("s", pool.FateUnknown, "j.0.0.0"))
	m.Update(epoch, lossOf("t", pool.FateUnknown, "j.0.0.0"))
	m.Update(epoch, lossOf("gone", pool.FateUnknown, "j.0.0.0"))
	replaced := m.Replaced(func(id string) int64 { return map[string]int64{"s": 2, "t": 1}[id] })
	assert.Equal(t, len(replaced), 1)
	assert.Equal(t, replaced[0].Loss.Server, "s")
	assert.Equal(t, replaced[0].Fate, pool.FateCrashed)
}

// TestSuspectsApart checks that no two suspected tasks are placed on one server, that a server
// without runs is preferred for them, and that others are placed beside them last.
func TestSuspectsApart(t *testing.T) {
	m := newModel(3)
	for _, id := range []string{"a", "b"} {
		m.Update(epoch, lossOf("lost-"+id, pool.FateUnknown, id+".0.0.0"))
		placed := runs(m.Update(epoch, submit(jobOf(id, 1))))
		assert.Equal(t, len(placed), 1)
		assert.Assert(t, placed[0].Task.Suspect)
	}
	slots := m.pools[self].slots
	suspects := 0
	for _, s := range slots {
		if s.Suspect {
			suspects++
			assert.Equal(t, s.Free.CPU, 9000)
		}
	}
	assert.Equal(t, suspects, 2)
	assert.Equal(t, len(runs(m.Update(epoch, submit(jobOf("c", 2))))), 2)
	for _, s := range m.pools[self].slots {
		assert.Equal(t, s.Free.CPU, map[bool]int{true: 9000, false: 2000}[s.Suspect])
	}
	m.Update(epoch, lossOf("lost-d", pool.FateUnknown, "d.0.0.0"))
	assert.Equal(t, len(runs(m.Update(epoch, submit(jobOf("d", 1))))), 0)
	assert.Equal(t, len(runs(m.Update(epoch, submit(jobOf("e", 2))))), 2)
}

// TestLossesBounded checks that losses are dropped after a time, and when there are too many.
func TestLossesBounded(t *testing.T) {
	s := newSuspects()
	for i := range 2 * maxLosses {
		s.add(epoch.Add(time.Duration(i)), lossOf(fmt.Sprint(i), pool.FateCrashed, fmt.Sprintf("j%d.0.0.0", i)))
	}
	assert.Equal(t, len(s.losses), maxLosses)
	assert.Equal(t, len(s.byTask), maxLosses)
	assert.Equal(t, len(s.byJob), maxLosses)
	s.add(epoch.Add(lossRetention+time.Second), lossOf("last", pool.FateCrashed, "j.0.0.0"))
	assert.Equal(t, len(s.losses), 1)
	assert.Equal(t, len(s.byTask), 1)
	assert.Equal(t, len(s.byJob), 1)
}
