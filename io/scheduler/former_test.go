package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/schedule"
)

// TestAnnouncedToFormerHome guards against a home of before that isn't asked for what its
// successor doesn't know, and checks that it says for how long it was one.
func TestAnnouncedToFormerHome(t *testing.T) {
	network, _, _ := newHomes(t, 0)
	a, b := network.schedulers["a"], network.schedulers["b"]
	former := b.Shard("s")
	former.jobs.Update(time.Now().Add(-time.Hour), schedule.HomesMsg{Member: true})
	former.jobs.Update(time.Now(), schedule.HomesMsg{})
	was, left := former.tenure()
	assert.Assert(t, was >= int(time.Hour.Microseconds()) && left < int(time.Minute.Microseconds()))
	shard := a.Shard("s")
	limits := a.config.Jobs
	limits.AskFormer = true
	shard.jobs = schedule.New("a", limits)
	shard.update(schedule.HomesMsg{
		Hosts:   []string{"b"},
		Domains: map[string]string{"b": "domain-b"},
		Member:  true,
	})
	assert.Equal(t, len(shard.formerHomes()), 0)
	shard.update(schedule.HomesMsg{Member: true})
	assert.DeepEqual(t, shard.formerHomes(), []string{"b"})
	a.config.Roster.MarkNotListening("b") // it is no home any more
	a.hostsChanged()
	a.announceJobs(shard, time.Now(), []string{"j"})
	assert.Equal(t, <-network.announced, "b")
}
