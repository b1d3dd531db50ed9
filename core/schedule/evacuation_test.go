package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// firstAttempt returns a job of two tasks that its caller seems not to have submitted before.
func firstAttempt(id string) work.Job {
	j := jobOf(id, 2)
	j.First = true
	return j
}

// TestOwnServersEvacuated checks that jobs go to other hosts' servers at once while the own ones
// accept nothing, that those beyond what the last servers can serve in time are refused on
// arrival, and that nothing is placed in the own pool.
func TestOwnServersEvacuated(t *testing.T) {
	const servers, jobs = 4, 60
	m := newModel(0)
	m.Update(epoch, CapacityMsg{
		Host:     "other",
		Capacity: poolWith(servers),
	})
	placed, refused := 0, 0
	for i := range jobs {
		cmds := m.Update(epoch, submit(jobOf(fmt.Sprintf("j%02d", i), 2)))
		for _, run := range runs(cmds) {
			assert.Equal(t, run.Host, "other")
			placed++
		}
		for _, a := range answers(cmds) {
			assert.Equal(t, a.Outcome.State, work.Refused)
			assert.Equal(t, a.Outcome.Reason, core.ReasonWait)
			refused++
		}
	}
	assert.Equal(t, placed, 2*servers)
	assert.Assert(t, refused > 0)
}

// TestOwnServersEvacuatedAndCutOff guards against jobs that wait at a home whose own servers are
// evacuated while the hosts that lend to it can't be reached. One that has not heard of them yet
// waits for their reports.
func TestOwnServersEvacuatedAndCutOff(t *testing.T) {
	m := New(self, limits)
	m.Update(epoch, EvacuatedMsg{Own: true})
	assert.Equal(t, len(answers(m.Update(epoch, submit(jobOf("early", 2))))), 0)
	assert.Equal(t, len(runs(m.Update(epoch, CapacityMsg{
		Host:     "other",
		Capacity: poolWith(1),
	}))), 2)
	assert.Equal(t, len(answers(m.Update(epoch, submit(firstAttempt("waiting"))))), 0)
	m.Update(epoch, PoolGoneMsg{Host: "other"})
	cmds := append(m.Update(epoch, TickMsg{}), m.Update(epoch, submit(firstAttempt("new")))...)
	got := answers(cmds)
	assert.Equal(t, len(got), 2)
	for i, id := range []string{"waiting", "new"} {
		assert.Equal(t, got[i].ID, id)
		assert.Equal(t, got[i].Outcome.State, work.Refused)
		assert.Equal(t, got[i].Outcome.Reason, core.ReasonEvacuated)
	}
	m.Update(epoch, CapacityMsg{
		Host:     "other",
		Capacity: poolWith(1),
	})
	assert.Equal(t, len(runs(m.Update(epoch, submit(jobOf("after", 2))))), 2)
}

// TestAllEvacuated guards against jobs that wait until it is too late although no server may
// start them. What runs ends in peace.
func TestAllEvacuated(t *testing.T) {
	m := newModel(1)
	running := runs(m.Update(epoch, submit(jobOf("running", 2))))
	assert.Equal(t, len(running), 2)
	assert.Equal(t, len(answers(m.Update(epoch, submit(firstAttempt("waiting"))))), 0)
	m.Update(epoch, CapacityMsg{
		Host:     self,
		Capacity: poolWith(0),
	})
	cmds := m.Update(epoch, EvacuatedMsg{
		Own: true,
		All: true,
	})
	cmds = append(cmds, m.Update(epoch, submit(firstAttempt("new")))...)
	assert.Equal(t, len(halts(cmds)), 0)
	got := answers(cmds)
	assert.Equal(t, len(got), 2)
	for i, id := range []string{"waiting", "new"} {
		assert.Equal(t, got[i].ID, id)
		assert.Equal(t, got[i].Outcome.State, work.Refused)
		assert.Equal(t, got[i].Outcome.Reason, core.ReasonEvacuated)
		assert.Assert(t, got[i].Outcome.RetryAfter >= time.Second)
	}
	again := answers(m.Update(epoch, submit(jobOf("again", 2))))
	assert.Equal(t, again[0].Outcome.State, work.Broken, "an earlier attempt may have run")
	m.Update(epoch, ended(running[0], work.EndDone))
	assert.Equal(t, answers(m.Update(epoch, ended(running[1], work.EndDone)))[0].Outcome.State, work.Completed)
	m.Update(epoch, EvacuatedMsg{})
	m.Update(epoch, CapacityMsg{
		Host:     self,
		Capacity: poolWith(1),
	})
	assert.Equal(t, len(runs(m.Update(epoch, submit(jobOf("after", 2))))), 2)
}
