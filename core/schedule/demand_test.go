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

// TestLateJobsAreRefusedAtOnce replays jobs that bring twice the work that the servers of a home can
// do: one that can't start in time is refused within the grace period, unless another home lends
// capacity.
func TestLateJobsAreRefusedAtOnce(t *testing.T) {
	const grace = 25 * time.Millisecond // limits.ProvisionalTimeout
	tests := []struct {
		name    string
		limit   float64
		jobs    int // of 8 tasks of 7 cores and 100 ms, in half a second, for 10 servers of 16 cores
		lender  *CapacityMsg
		refused bool
	}{
		{
			name:    "twice the capacity",
			limit:   1.1,
			jobs:    40,
			refused: true,
		},
		{
			name: "no limit",
			jobs: 40,
		},
		{
			name:  "less than the capacity",
			limit: 1.1,
			jobs:  12,
		},
		{
			name:  "another home lends",
			limit: 1.1,
			jobs:  40,
			lender: &CapacityMsg{
				Host: "other",
				Capacity: pool.Capacity{
					TotalCPU: 160_000,
					Largest:  work.Size{CPU: 16000},
				},
			},
		},
		{
			name:  "another home lacks capacity too",
			limit: 1.1,
			jobs:  40,
			lender: &CapacityMsg{
				Host: "other",
				Capacity: pool.Capacity{
					TotalCPU: 160_000,
					Largest:  work.Size{CPU: 16000},
				},
				Backlog: 7000,
			},
			refused: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := limits
			l.MaxOfferedWork, l.AdmitWaitFactor, l.RefuseWaitFactor, l.DemotedWaitFactor = test.limit, 0.01, 100, 100
			m := New(self, l)
			full := poolWith(10)
			full.Slots = nil
			m.Update(epoch, CapacityMsg{
				Host:     self,
				Capacity: full,
			})
			if test.lender != nil {
				m.Update(epoch, *test.lender)
			}
			now := epoch
			for n := range test.jobs {
				now = epoch.Add(500 * time.Millisecond * time.Duration(n) / time.Duration(test.jobs))
				m.Update(now, submission(fmt.Sprint(n), now))
			}
			cmds := m.Update(now, submission("last", now))
			for _, at := range []time.Duration{grace, grace + 10*time.Millisecond} {
				cmds = append(cmds, m.Update(now.Add(at), TickMsg{})...)
			}
			refused := false
			for _, cmd := range pick.OfType[AnswerCmd](cmds) {
				if cmd.ID == "last" {
					assert.Equal(t, cmd.Outcome.State, work.Refused)
					assert.Equal(t, cmd.Outcome.Reason, core.ReasonWait)
					refused = true
				}
			}
			assert.Equal(t, refused, test.refused)
		})
	}
}

func submission(id string, now time.Time) SubmitMsg {
	job := jobOf(id, 8)
	job.Arrived, job.Slack, job.Stretch, job.Deadline = now, 100*time.Millisecond, 1.6, now.Add(5*time.Second)
	return SubmitMsg{
		Job:    job,
		Caller: id,
	}
}

// TestOverloadIsRefusedSoon replays 1.5 to 3 times the usual load with and without the limit of
// offered work. With it refusals come sooner, and no more credit is lost than deployments allow for.
func TestOverloadIsRefusedSoon(t *testing.T) {
	const maxLoss = 0.03
	for _, loadFactor := range []float64{1.5, 2, 3} {
		t.Run(fmt.Sprint(loadFactor), func(t *testing.T) {
			var credit [2]float64
			var half, most [2]time.Duration
			for i, limit := range []float64{0, 1.1} {
				l := defaultLimits
				l.MaxOfferedWork = limit
				for seed := range uint64(overloadSeeds) {
					r := newFleetReplay(seed, l).play(fleetLoad(), loadFactor, replayLength)
					credit[i] += r.credit() / overloadSeeds
					half[i] += r.refusedWithin(0.5) / overloadSeeds
					most[i] += r.refusedWithin(0.99) / overloadSeeds
				}
			}
			t.Logf("credit %.3f; half of the refusals within %s, 99 of 100 within %s", credit, half, most)
			assert.Assert(t, half[1] < half[0] && most[1] < most[0])
			assert.Assert(t, credit[1] >= credit[0]-maxLoss)
		})
	}
}
