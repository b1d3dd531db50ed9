package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// refusalReason returns why a new job must be refused regardless of its estimated wait,
// or "".
func (m *Model) refusalReason(now time.Time, j *job) core.Reason {
	if len(m.jobs) >= m.limits.MaxJobs {
		return core.ReasonOverload
	}
	switch {
	case !now.Before(j.Deadline):
		return core.ReasonDeadline
	case j.pastUse(now):
		return core.ReasonWait
	case m.lacksServers():
		return core.ReasonEvacuated
	}
	var largest work.Size
	for _, p := range m.pools {
		largest = largest.Max(p.largest)
	}
	for _, s := range j.Steps {
		if largest.CPU > 0 && !s.Size.Fits(largest) {
			return core.ReasonFit
		}
	}
	return ""
}

// lacksServers reports whether no job can be started as the backend servers are evacuated: all,
// or the own ones while the other hosts that reported capacity can't be reached.
func (m *Model) lacksServers() bool {
	return m.evacuated.All || m.evacuated.Own && m.borrows && m.TotalCPU() == 0
}

// estimatedWait estimates the time until the last waiting task of a job starts.
func (m *Model) estimatedWait(now time.Time, j *job) time.Duration {
	ahead := 0
	for _, other := range m.queue {
		if other == j || compareJobs(other, j) < 0 {
			ahead += other.backlog
		}
	}
	return m.estimatedWaitBehind(now, j, ahead)
}

// estimatedWaitBehind estimates the time until a number of millicores have been taken,
// at the rate at which ending runs release capacity, less the demand of jobs that will
// overtake this one.
func (m *Model) estimatedWaitBehind(now time.Time, j *job, ahead int) time.Duration {
	releaseRate, free := m.capacityFor(j.largest())
	ahead -= free
	if ahead <= 0 {
		return 0
	}
	if releaseRate == 0 {
		return defaultWait
	}
	releaseRate = max(releaseRate/minReleaseDivisor, releaseRate-m.outrankingDemand(now, j))
	return time.Duration(float64(ahead) / float64(releaseRate) * float64(time.Second))
}

const (
	// defaultWait is the estimate when no run is known to end.
	defaultWait = time.Second
	// minReleaseDivisor bounds the effect of overtaking jobs: at least the release rate
	// divided by this is assumed to be left for a job.
	minReleaseDivisor = 10
)

// capacityFor returns the release rate and the free capacity that a waiting job can
// count on, given the size of its largest task: those of the own pool, and of the hosts
// that lend what becomes free there, because nothing waits at them. A host without
// backend servers of its own counts on all pools.
func (m *Model) capacityFor(size work.Size) (releaseRate, free int) {
	own := m.pools[m.self]
	alone := own == nil || own.total == 0
	for _, p := range m.pools {
		usable := p.usable(size)
		free += usable
		if p == own || alone || usable > 0 || p.backlog == 0 {
			releaseRate += p.releaseRate
		}
	}
	return releaseRate, free
}

// startSlack returns the time from a job's arrival to its latest start.
func (j *job) startSlack() time.Duration { return j.latestStart.Sub(j.Arrived) }

// admit decides about a new job. A job that can start in time is admitted. One that
// can't is refused if its estimated wait is far beyond its slack. Otherwise, also if it
// arrived after its latest start, it is provisional for a short time, in which reports of
// free capacity on other hosts may arrive; it starts no task until there is capacity for
// all of them, because work for a job that ends too late takes capacity from the jobs
// behind it. A job that found no capacity in that time, or arrived after its latest
// start, is demoted: it only gets the capacity that other jobs leave.
func (m *Model) admit(now time.Time, j *job) []Cmd {
	estimatedWait := m.estimatedWait(now, j)
	switch {
	case m.TotalCPU() == 0:
		// No backend server is known yet: they are being taken over from another host.
	case !now.Before(j.latestStart):
		j.provisional = true
	case float64(estimatedWait) > m.limits.RefuseWaitFactor*float64(j.startSlack()):
		return m.refuse(now, j, core.ReasonWait)
	case float64(estimatedWait) > m.limits.AdmitWaitFactor*float64(j.startSlack()):
		j.provisional = true
	default:
		m.accept(now, j)
	}
	return m.dispatch(now)
}

// accept marks a job as admitted and counts its demand.
func (m *Model) accept(now time.Time, j *job) {
	j.provisional = false
	m.demands[j.Route] = m.demands[j.Route].with(now, j.startSlack(), j.backlog)
}

// minRunRatio is the ratio of run time to predicted run time below which few jobs end.
const minRunRatio = 0.8

// pastUse reports whether a job would end too late for its outcome to be of use, even if
// it started now. The load pattern is the wave of resubmissions after all hosts were
// lost: most of them are past use, and would take the capacity of new jobs.
func (j *job) pastUse(now time.Time) bool {
	return now.Add(time.Duration(minRunRatio * float64(j.criticalPath()))).After(j.usefulUntil)
}

// fits reports whether there is free capacity for all runnable tasks of a job.
func (m *Model) fits(now time.Time, j *job) bool {
	size, runnable := j.largest(), 0
	for _, t := range j.tasks {
		if j.runnable(now, t) {
			runnable++
		}
	}
	return m.usable(size) >= runnable*size.CPU
}

// startsLate reports whether a job that hasn't started is expected to start too late. As
// long as no pool has capacity there is no estimate; the job is then late once its outcome
// can no longer be of use.
func (m *Model) startsLate(now time.Time, j *job, wait time.Duration) bool {
	if m.TotalCPU() == 0 {
		return now.Add(j.minRemaining()).After(j.usefulUntil)
	}
	return now.Add(wait).After(j.Arrived.Add(time.Duration(m.limits.DemoteStartFactor * float64(j.startSlack()))))
}

// waitsTooLong reports whether a demoted job should be refused because of its estimated
// wait. The limit is a multiple of the time in which its outcome is of use: all
// jobs that are not demoted count as overtaking it, so the estimate is far too long as
// soon as they ask for most of what ends, which is the case at a moderate load too.
func (m *Model) waitsTooLong(now time.Time, j *job, wait time.Duration) bool {
	remaining := j.usefulUntil.Sub(now) - j.minRemaining()
	return now.Sub(j.acceptedAt) >= m.limits.ProvisionalTimeout && float64(wait) > m.limits.DemotedWaitFactor*float64(remaining)
}

// expire demotes the jobs that are expected to start late, refuses those that won't be
// served in time, and gives up started ones that can't end before their deadline.
func (m *Model) expire(now time.Time) []Cmd {
	var cmds []Cmd
	ahead := 0 // millicores that the jobs before this one still wait for
	for _, j := range m.sortedJobs() {
		if outcome, ok := m.withoutMajority(now, j); ok {
			cmds = append(cmds, m.finish(now, j, outcome)...)
			continue
		}
		if m.shouldDemote(now, j, ahead+j.backlog) {
			m.demote(j)
		}
		if reason := m.giveUpReason(now, j, ahead+j.backlog); reason != "" {
			cmds = append(cmds, m.giveUp(now, j, reason)...)
		} else if j.hasWaiting() {
			ahead += j.backlog
		}
	}
	return cmds
}

// shouldDemote reports whether a job that hasn't started should be moved behind those
// that can still start in time.
func (m *Model) shouldDemote(now time.Time, j *job, ahead int) bool {
	switch {
	case j.started || j.demoted || !j.hasWaiting():
		return false
	case j.provisional:
		return now.Sub(j.acceptedAt) >= m.limits.ProvisionalTimeout
	}
	return m.startsLate(now, j, m.estimatedWaitBehind(now, j, ahead))
}

// demote moves a job behind those that can still start in time.
func (m *Model) demote(j *job) {
	m.queue = slices.DeleteFunc(m.queue, func(o *job) bool { return o == j })
	j.demoted, j.provisional = true, false
	m.enqueue(j)
}

// giveUpReason returns why a job should be given up, or "".
func (m *Model) giveUpReason(now time.Time, j *job, ahead int) core.Reason {
	switch {
	case !now.Before(j.Deadline.Add(-answerMargin)):
		return core.ReasonDeadline
	case !j.hasWaiting():
	case m.lacksServers() && !j.running():
		return core.ReasonEvacuated
	case !j.started && j.pastUse(now):
		return core.ReasonWait
	case !j.running() && now.Add(j.minRemaining()).After(j.Deadline):
		return core.ReasonDeadline
	case j.demoted && !j.started && m.waitsTooLong(now, j, m.estimatedWaitBehind(now, j, ahead)):
		return core.ReasonWait
	}
	return ""
}

// answerMargin is the time that an answer needs to reach its caller, through the host
// that received the job, before the caller stops waiting.
const answerMargin = 40 * time.Millisecond

// minRemaining returns a low estimate of the run time that the waiting tasks need.
func (j *job) minRemaining() time.Duration {
	var longest time.Duration
	for _, t := range j.tasks {
		if t.state == waiting {
			longest = max(longest, j.predicted[t.step]/2)
		}
	}
	return longest
}

// sortedJobs returns all jobs in queue order.
func (m *Model) sortedJobs() []*job {
	jobs := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	return jobs
}

// refuse ends a job of which no task ran or will run.
func (m *Model) refuse(now time.Time, j *job, reason core.Reason) []Cmd {
	if reason == core.ReasonEvacuated {
		return m.refuseEvacuated(now, j)
	}
	return m.finish(now, j, work.Outcome{
		State:      work.Refused,
		Reason:     reason,
		RetryAfter: max(minRetryAfter, m.estimatedWait(now, j)),
	})
}

// refuseEvacuated ends a job for which no server may be used. An earlier attempt may have run, so
// only what seems to be the first one is said not to have run.
func (m *Model) refuseEvacuated(now time.Time, j *job) []Cmd {
	if !j.First || j.wasElsewhere || j.unconfirmed {
		return m.finish(now, j, work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonEvacuated,
		})
	}
	return m.finish(now, j, work.Outcome{
		State:      work.Refused,
		Reason:     core.ReasonEvacuated,
		RetryAfter: evacuatedRetryAfter,
	})
}

// evacuatedRetryAfter is the delay that a caller is told to wait while no server may be used.
const evacuatedRetryAfter = time.Second

// minRetryAfter is the shortest delay that a refused caller is told to wait.
const minRetryAfter = 100 * time.Millisecond

// OverloadOutcome returns the outcome of a job that is refused as the host has no processor time
// for it.
func OverloadOutcome() work.Outcome {
	return work.Outcome{
		State:      work.Refused,
		Reason:     core.ReasonOverload,
		RetryAfter: overloadRetryAfter,
	}
}

// overloadRetryAfter is the delay that a caller is told to wait for a host that is overloaded.
const overloadRetryAfter = time.Second

// giveUp ends a job that can't be served in time.
func (m *Model) giveUp(now time.Time, j *job, reason core.Reason) []Cmd {
	if !j.started {
		return m.refuse(now, j, reason)
	}
	return m.finish(now, j, work.Outcome{
		State:  work.Broken,
		Reason: reason,
	})
}
