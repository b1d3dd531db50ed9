package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
)

func crashOf(server string) schedule.LossMsg {
	return schedule.LossMsg{
		Loss: pool.Loss{
			Server:    server,
			StartedAt: 1,
			SeenAt:    1,
		},
		Fate:  pool.FateCrashed,
		Tasks: []string{"j.0.0.0"},
	}
}

// TestCulpritAtOtherHome guards against a start of a task that crashed two servers, one for
// each of two homes.
func TestCulpritAtOtherHome(t *testing.T) {
	network, _, _ := newHomes(t, time.Millisecond)
	a, b := network.schedulers["a"], network.schedulers["b"]
	a.Shard("s").update(crashOf("first"))
	b.Shard("s").update(crashOf("second"))
	a.shareLoss("s", crashOf("first"))
	deadline := time.Now().Add(5 * time.Second)
	for len(b.Shard("s").losses()) < 2 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	outcome, ok := b.coordinate(t.Context(), schedule.SubmitMsg{Job: announcedJob()}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, outcome.State, work.Broken)
	assert.Equal(t, outcome.Reason, core.ReasonCrashes)
}

// TestLossesAsked checks that a home that asks another one for its jobs gets its losses.
func TestLossesAsked(t *testing.T) {
	network, _, _ := newHomes(t, time.Millisecond)
	a, b := network.schedulers["a"], network.schedulers["b"]
	a.Shard("s").update(crashOf("first"))
	assert.Assert(t, b.askOnce(t.Context(), "s", "a"))
	assert.DeepEqual(t, b.Shard("s").losses(), a.Shard("s").losses())
}

// TestEntryCountsAsCrash guards against tasks that count as the cause of a crash, because an
// entry names a later process than the one that was lost. The lists of such a process settle
// the loss, at all homes.
func TestEntryCountsAsCrash(t *testing.T) {
	network, _, _ := newHomes(t, time.Millisecond)
	a, b := network.schedulers["a"], network.schedulers["b"]
	a.config.Servers.(*fakeServer).born = 2
	lost := crashOf("server-a")
	lost.Fate = pool.FateUnknown
	for _, s := range []*Scheduler{a, b} {
		s.Shard("s").update(lost)
	}
	list := func(born int64) {
		a.Shard("s").update(pool.AssignMsg{
			Servers: []listing.Server{{
				ID:              "server-a",
				StartedAtMillis: born,
			}},
			Token: 1,
		})
		a.Shard("s").resolveLosses()
	}
	list(2)
	assert.Equal(t, a.Shard("s").losses()[0].Fate, int(pool.FateUnknown))
	list(3) // requests the lists
	deadline := time.Now().Add(5 * time.Second)
	for b.Shard("s").losses()[0].Fate != int(pool.FateCrashed) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		a.Shard("s").resolveLosses()
	}
	assert.Equal(t, a.Shard("s").losses()[0].Fate, int(pool.FateCrashed))
	assert.Equal(t, b.Shard("s").losses()[0].Fate, int(pool.FateCrashed))
}

// TestLentLossOnWire checks that the loss of a server and the suspicion of a task keep their
// values on the wire.
func TestLentLossOnWire(t *testing.T) {
	now := time.Now()
	task := work.Task{
		Job:      "j",
		Suspect:  true,
		Deadline: now,
	}
	assert.Assert(t, taskFromWire(taskToWire("s", task, now), now).Suspect)
	assert.Assert(t, lentLoss(pool.EndCmd{}) == nil)
	crash := crashOf("server")
	loss := lossFromWire(*lentLoss(pool.EndCmd{
		Loss: crash.Loss,
		Fate: crash.Fate,
	}))
	assert.Equal(t, loss.Loss, crash.Loss)
	assert.Equal(t, loss.Fate, crash.Fate)
}
