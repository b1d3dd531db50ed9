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

// overloaded reports whether new jobs bring more work than the own pool can do, and no pool has
// capacity that a job could use. A job that is late then waits in vain: others that can still
// start in time take all that becomes free. Estimates of its wait don't show this, as they count
// the demand of admitted jobs only, which can't exceed the capacity for long.
func (m *Model) overloaded(now time.Time, j *job) bool {
	own := m.pools[m.self]
	if m.limits.MaxOfferedWork == 0 || own == nil || own.total == 0 {
		return false
	}
	for _, p := range m.pools {
		if (p != own && p.backlog == 0) || p.usable(j.largest()) > 0 {
			return false
		}
	}
	return m.offered.rate(now) > m.limits.MaxOfferedWork*float64(own.total)
}

// work returns the predicted work of a job's tasks, in thousandths of a core second.
func (j *job) work() int {
	sum := 0.0
	for i, s := range j.Steps {
		sum += float64(s.Count*s.Size.CPU) * j.predicted[i].Seconds()
	}
	return int(sum)
}
