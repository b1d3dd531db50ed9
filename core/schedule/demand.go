package schedule

import (
	"math"
	"time"
)

// demandDecayTime is the time constant with which the demand of admitted jobs decays.
const demandDecayTime = 500 * time.Millisecond

// demand is the exponentially decayed demand of the jobs recently admitted for a route.
type demand struct {
	startSlack time.Duration // slack of the latest job
	updatedAt  time.Time
	sum        float64 // millicores, decayed up to updatedAt
}

// with returns the demand including one more job.
func (d demand) with(now time.Time, startSlack time.Duration, backlog int) demand {
	d.sum = d.decayed(now) + float64(backlog)
	d.updatedAt, d.startSlack = now, startSlack
	return d
}

func (d demand) decayed(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.updatedAt).Seconds()/demandDecayTime.Seconds())
}

// rate returns the demand in millicores per second.
func (d demand) rate(now time.Time) float64 { return d.decayed(now) / demandDecayTime.Seconds() }

// outrankSlackRatio bounds the slack of routes that overtake a job: jobs that have less
// than this fraction of its slack mostly have an earlier latest start, even if they
// arrive while it waits.
const outrankSlackRatio = 0.7

// outrankingDemand returns the demand, in millicores per second, of jobs that will
// overtake a waiting one: jobs of routes with much less slack, or all jobs if it was
// demoted.
func (m *Model) outrankingDemand(now time.Time, j *job) int {
	sum := 0.0
	for _, d := range m.demands {
		if j.demoted || float64(d.startSlack) < outrankSlackRatio*float64(j.startSlack()) {
			sum += d.rate(now)
		}
	}
	return int(sum)
}
