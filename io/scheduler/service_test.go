package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
)

// TestResentToOtherService guards against a second run of a job whose route has changed to
// another service since its first attempt.
func TestResentToOtherService(t *testing.T) {
	tests := []struct {
		name string
		home string // of the second attempt
	}{
		{
			name: "at the same home",
			home: "a",
		},
		{
			name: "at another home",
			home: "b",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network, starts, _ := newHomes(t, 300*time.Millisecond)
			a, second := network.schedulers["a"], network.schedulers[test.home]
			first := make(chan work.Outcome, 1)
			go func() {
				outcome, _ := a.Do(t.Context(), announcedJob())
				first <- outcome
			}()
			<-starts["a"]
			a.announce()
			<-network.announced
			shard := second.Shard("other")
			shard.jobs.Update(time.Now().Add(-time.Hour), schedule.TickMsg{})
			shard.update(pool.AssignMsg{
				Servers: []listing.Server{{
					ID:       "other-server",
					Domain:   "domain-" + test.home,
					Capacity: work.Size{CPU: 1000},
				}},
				Token: 1,
			})
			for shard.Capacity().TotalCPU == 0 {
				time.Sleep(time.Millisecond)
			}
			job := announcedJob()
			job.Service = "other"
			second.Do(t.Context(), job)
			assert.Equal(t, len(starts[test.home]), 0)
			assert.Equal(t, (<-first).State, work.Completed)
		})
	}
}
