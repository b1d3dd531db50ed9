package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

func sortJobs(jobs []*job) { slices.SortFunc(jobs, compare) }

// end takes the end of a run.
func (m *Model) end(now time.Time, msg EndMsg) []Cmd {
	j := m.jobs[msg.Task.Job]
	if j == nil {
		return nil
	}
	t := j.find(msg.Task.Step, msg.Task.Index)
	if t == nil || t.state != placed || t.host != msg.Host || msg.Task.Run < t.run {
		return nil
	}
	t.run = msg.Task.Run
	t.expect = msg.Task.PredictedTime
	switch msg.End {
	case work.EndDone:
		return m.done(now, j, t, msg)
	case work.EndFailed:
		t.failures++
		t.avoid = msg.Server
		if t.failures >= j.MaxAttempts {
			return m.finish(now, j, work.Outcome{
				State:  work.Failed,
				Reason: core.ReasonAttempts,
			})
		}
		t.run++
	case work.EndStopped, work.EndLeaseExpired:
		t.avoid = msg.Server
		t.run++
	case work.EndNever:
		t.after = now.Add(m.limits.Bounce)
	case work.EndUnknown:
		return m.finish(now, j, work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonUnknown,
		})
	}
	j.set(t, waiting)
	t.host = ""
	m.enqueue(j)
	return []Cmd{m.note(now, j, "run ended "+string(msg.End), msg.Reason)}
}

func (m *Model) done(now time.Time, j *job, t *task, msg EndMsg) []Cmd {
	j.set(t, done)
	j.left[t.step]--
	m.times[j.Route] = m.times[j.Route].withRun(msg.Took, j.Steps[t.step].Estimate)
	if !j.complete() {
		return nil
	}
	return m.finish(now, j, work.Outcome{State: work.Completed})
}

// finish ends a job: what still runs is stopped, and all callers are told.
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
		m.finished[j.ID] = memory{
			outcome: outcome,
			until:   now.Add(m.limits.Remember),
		}
	case work.Refused, work.Broken:
		// A caller may send the job again, and then it runs.
	}
	return append(cmds, m.note(now, j, string(outcome.State), outcome.Reason))
}

// remove forgets a job and stops what runs of it.
func (m *Model) remove(j *job) []Cmd {
	delete(m.jobs, j.ID)
	m.queue = slices.DeleteFunc(m.queue, func(o *job) bool { return o == j })
	var cmds []Cmd
	for _, t := range j.tasks {
		if t.state == placed {
			cmds = append(cmds, HaltCmd{
				Host: t.host,
				Name: j.order(t).Name(),
			})
		}
	}
	return cmds
}

// drop forgets a caller, and the job with its last one.
func (m *Model) drop(msg DropMsg) []Cmd {
	j := m.jobs[m.callers[msg.Caller]]
	delete(m.callers, msg.Caller)
	if j == nil {
		return nil
	}
	j.callers = slices.DeleteFunc(j.callers, func(c string) bool { return c == msg.Caller })
	if len(j.callers) > 0 {
		return nil
	}
	return append(m.remove(j), NoteCmd{
		ID:     j.ID,
		Event:  "dropped",
		Route:  j.Route,
		Reason: core.ReasonCanceled,
	})
}

// withdraw drops the one caller of a job.
func (m *Model) withdraw(now time.Time, msg WithdrawMsg) []Cmd {
	j := m.jobs[msg.ID]
	if j == nil || len(j.callers) > 1 {
		return nil
	}
	return m.finish(now, j, work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonCanceled,
	})
}

// stall gives up the jobs that other hosts took: those hosts may have given them
// up, and then they run elsewhere.
func (m *Model) stall(now time.Time) []Cmd {
	var cmds []Cmd
	for _, j := range m.sorted() {
		if j.remote {
			cmds = append(cmds, m.finish(now, j, work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonStall,
			})...)
		}
	}
	return cmds
}

func (m *Model) cancel(now time.Time, msg CancelMsg) []Cmd {
	j := m.jobs[msg.ID]
	outcome := work.Outcome{
		State:  work.Canceled,
		Reason: core.ReasonCanceled,
	}
	if j != nil {
		return m.finish(now, j, outcome)
	}
	if _, ok := m.finished[msg.ID]; !ok {
		// A submission that is still on its way must not start.
		m.finished[msg.ID] = memory{
			outcome: outcome,
			until:   now.Add(m.limits.Remember),
		}
	}
	return nil
}

// forget drops outcomes that no resend will ask for.
func (m *Model) forget(now time.Time) {
	for id, f := range m.finished {
		if now.After(f.until) {
			delete(m.finished, id)
		}
	}
}

func (m *Model) note(now time.Time, j *job, event string, reason core.Reason) NoteCmd {
	return NoteCmd{
		ID:      j.ID,
		Event:   event,
		Route:   j.Route,
		Reason:  reason,
		Waiting: len(m.queue),
		Wait:    m.wait(now, j),
		Age:     now.Sub(j.Arrived),
	}
}
