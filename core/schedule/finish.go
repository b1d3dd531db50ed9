package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

func sortJobs(jobs []*job) { slices.SortFunc(jobs, compareJobs) }

// handleEnd handles the end of a run, also of one of a job that was given up.
func (m *Model) handleEnd(now time.Time, msg EndMsg) []Cmd {
	cmds := append(m.endTask(now, msg), m.recordEndLoss(now, msg)...)
	return append(cmds, m.recordHaltedEnd(now, msg)...)
}

// endTask updates the task of a run that has ended. It ignores runs that are no longer
// current.
func (m *Model) endTask(now time.Time, msg EndMsg) []Cmd {
	j := m.jobs[msg.Task.Job]
	if j == nil || j.submission != msg.Task.Submission {
		return nil
	}
	t := j.find(msg.Task.Step, msg.Task.Index)
	if t == nil || t.state != placed || t.host != msg.Host || msg.Task.Run < t.run {
		return nil
	}
	t.run = msg.Task.Run
	t.predicted = msg.Task.PredictedTime
	switch msg.End {
	case work.EndDone:
		return m.done(now, j, t, msg)
	case work.EndFailed:
		t.failures++
		t.avoidServer = msg.Server
		if t.failures >= j.MaxAttempts {
			return m.finish(now, j, work.Outcome{
				State:  work.Failed,
				Reason: core.ReasonAttempts,
			})
		}
		t.run++
	case work.EndStopped, work.EndLeaseExpired:
		t.avoidServer = msg.Server
		t.run++
	case work.EndNotStarted:
		t.notBefore = now.Add(m.limits.PlacementRetryDelay)
	case work.EndUnknown:
		reason := core.ReasonUnknown
		if msg.Reason == core.ReasonElsewhere {
			// The run there is another home's, and not to be stopped.
			j.set(t, waiting)
			reason = msg.Reason
		}
		return m.finish(now, j, work.Outcome{
			State:  work.Broken,
			Reason: reason,
		})
	}
	j.set(t, waiting)
	t.host = ""
	m.enqueue(j)
	return []Cmd{m.logCmd(now, j, "run ended "+string(msg.End), msg.Reason)}
}

func (m *Model) done(now time.Time, j *job, t *task, msg EndMsg) []Cmd {
	j.set(t, done)
	j.unfinished[t.step]--
	m.runTimes[j.Route] = m.runTimes[j.Route].withRun(usualTime(msg), j.Steps[t.step].Estimate)
	if !j.complete() {
		return nil
	}
	return m.finish(now, j, work.Outcome{State: work.Completed})
}

// finish ends a job: it stops the running tasks and sends the outcome to all callers.
func (m *Model) finish(now time.Time, j *job, outcome work.Outcome) []Cmd {
	cmds := m.remove(j)
	for _, caller := range j.callers {
		delete(m.callers, caller)
		cmds = append(cmds, AnswerCmd{
			Caller:  caller,
			ID:      j.ID,
			Outcome: outcome,
		})
	}
	switch outcome.State {
	case work.Completed, work.Failed, work.Canceled:
		m.retain(now, j.Queue, j.ID, outcome)
	case work.Refused, work.Broken, work.Elsewhere:
		// The outcome isn't retained, so that a resubmitted job runs.
	}
	return append(cmds, m.logCmd(now, j, string(outcome.State), outcome.Reason))
}

// remove deletes a job and stops its running tasks.
func (m *Model) remove(j *job) []Cmd {
	delete(m.jobs, j.ID)
	if len(m.jobs) == 0 {
		// No announcement waits for an answer.
		clear(m.unansweredSince)
	}
	m.queue = slices.DeleteFunc(m.queue, func(o *job) bool { return o == j })
	var cmds []Cmd
	for _, t := range j.tasks {
		if t.state == placed {
			name := j.order(t).Name()
			m.recordHalt(j, name)
			cmds = append(cmds, HaltCmd{
				Host: t.host,
				Name: name,
			})
		}
	}
	return cmds
}

// callerGone removes a caller, and its job when no other caller waits for it.
func (m *Model) callerGone(msg CallerGoneMsg) []Cmd {
	j := m.jobs[m.callers[msg.Caller]]
	delete(m.callers, msg.Caller)
	if j == nil {
		m.dropDeferred(msg.Caller)
		return nil
	}
	j.callers = slices.DeleteFunc(j.callers, func(c string) bool { return c == msg.Caller })
	if len(j.callers) > 0 {
		return nil
	}
	return append(m.remove(j), LogCmd{
		ID:     j.ID,
		Event:  "dropped",
		Route:  j.Route,
		Reason: core.ReasonCanceled,
	})
}

// withdraw gives up a job unless it has more than one caller.
func (m *Model) withdraw(now time.Time, msg WithdrawMsg) []Cmd {
	j := m.jobs[msg.ID]
	if j == nil || !sameQueue(j.Queue, msg.Queue) {
		return m.withdrawUnknown(msg)
	}
	if len(j.callers) > 1 {
		return []Cmd{m.logCmd(now, j, "withdrawal ignored", core.ReasonShared)}
	}
	return m.finish(now, j, work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonCanceled,
	})
}

// giveUpRemote gives up the jobs received by other hosts: those hosts may have declared
// this one dead, so that the jobs run elsewhere.
func (m *Model) giveUpRemote(now time.Time) []Cmd {
	var cmds []Cmd
	for _, j := range m.sortedJobs() {
		if j.remote {
			cmds = append(cmds, m.finish(now, j, work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonStall,
			})...)
		}
	}
	return cmds
}

// cancel ends a queue's job. A submission of it that is held back doesn't start.
func (m *Model) cancel(now time.Time, msg CancelMsg) []Cmd {
	if e := m.ending[msg.ID]; e != nil {
		for i, held := range e.deferred {
			e.deferred[i].Canceled = held.Canceled || sameQueue(held.Job.Queue, msg.Queue)
		}
	}
	j := m.jobs[msg.ID]
	if j == nil || !sameQueue(j.Queue, msg.Queue) {
		return nil
	}
	return m.finish(now, j, canceledOutcome())
}

func canceledOutcome() work.Outcome {
	return work.Outcome{
		State:  work.Canceled,
		Reason: core.ReasonCanceled,
	}
}

// retain keeps the outcome of a job for resubmissions.
func (m *Model) retain(now time.Time, queue, id string, outcome work.Outcome) {
	f := finishedJob{
		queue:     queue,
		outcome:   outcome,
		expiresAt: now.Add(m.limits.OutcomeRetention),
	}
	m.finished[id] = f
	m.retained = append(m.retained, retention{
		id:        id,
		expiresAt: f.expiresAt,
	})
}

// expireOutcomes deletes the outcomes that need no longer be retained for resubmissions. An
// outcome that replaced another one is retained by itself.
func (m *Model) expireOutcomes(now time.Time) {
	for len(m.retained) > 0 && now.After(m.retained[0].expiresAt) {
		id := m.retained[0].id
		m.retained = m.retained[1:]
		if now.After(m.finished[id].expiresAt) {
			delete(m.finished, id)
		}
	}
}

func (m *Model) logCmd(now time.Time, j *job, event string, reason core.Reason) LogCmd {
	return LogCmd{
		ID:      j.ID,
		Event:   event,
		Route:   j.Route,
		Reason:  reason,
		Waiting: len(m.queue),
		Wait:    m.estimatedWait(now, j),
		Age:     now.Sub(j.Arrived),
	}
}
