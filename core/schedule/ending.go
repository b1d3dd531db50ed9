package schedule

import (
	"maps"
	"math"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// endingJob is a job that was given up while its runs have yet to end.
type endingJob struct {
	submission int                  // number of the job's submission
	runs       map[string]time.Time // by task name; when the run counts as ended without a report, zero for never
	deferred   []SubmitMsg          // submissions that wait for the end of the runs
}

// maxClockDrift bounds how far the steady clock of another host may run slow, as a fraction.
const maxClockDrift = 0.02

// recordHalt adds a run that was ordered to stop. Its backend server ends it by its own clock
// even if neither that order nor the report of its end arrives.
func (m *Model) recordHalt(j *job, name string) {
	e := m.ending[j.ID]
	if e == nil {
		e = &endingJob{
			submission: j.submission,
			runs:       map[string]time.Time{},
		}
		m.ending[j.ID] = e
	}
	e.runs[name] = time.Time{}
	if limit := m.limits.MaxUnconfirmed; limit > 0 {
		e.runs[name] = j.confirmedAt.Add(limit + time.Duration(maxClockDrift*float64(limit)))
	}
}

// recordHaltedEnd handles the end of a run that was ordered to stop. A run whose end is
// unknown counts as ended when its lease must have expired.
func (m *Model) recordHaltedEnd(now time.Time, msg EndMsg) []Cmd {
	e, name := m.ending[msg.Task.Job], msg.Task.Name()
	if e == nil || e.submission != msg.Task.Submission {
		return nil
	}
	endsAt, ok := e.runs[name]
	if !ok {
		return nil
	}
	if msg.End == work.EndUnknown {
		expired := m.unknownExpiry(now)
		if endsAt.IsZero() || expired.Before(endsAt) {
			e.runs[name] = expired
		}
		return nil
	}
	delete(e.runs, name)
	return m.submitDeferred(now, msg.Task.Job)
}

// unknownExpiry returns when a run counts as ended whose end is unknown since now: its lease is
// over on the slowest clock allowed, its server has had the time to stop it, and other homes
// don't count the job as announced any more.
func (m *Model) unknownExpiry(now time.Time) time.Time {
	end := time.Duration(math.Ceil(float64(m.limits.MaxLease+m.limits.StopTimeout) / (1 - maxClockDrift)))
	return now.Add(max(end, m.limits.AnnouncementTTL))
}

// submitDeferred submits a job again to this home once all of its runs have ended.
func (m *Model) submitDeferred(now time.Time, id string) []Cmd {
	e := m.ending[id]
	if len(e.runs) > 0 {
		return nil
	}
	delete(m.ending, id)
	var cmds []Cmd
	for _, msg := range e.deferred {
		cmds = append(cmds, m.submit(now, msg)...)
	}
	return cmds
}

// expireEnding removes the runs that now count as ended.
func (m *Model) expireEnding(now time.Time) []Cmd {
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.ending)) {
		maps.DeleteFunc(m.ending[id].runs, func(_ string, endsAt time.Time) bool {
			return !endsAt.IsZero() && !now.Before(endsAt)
		})
		cmds = append(cmds, m.submitDeferred(now, id)...)
	}
	return cmds
}

// deferSubmission holds back a submission until the runs of the job's previous submission
// have ended. It reports false if there are none. A repeated call is answered at once.
func (m *Model) deferSubmission(msg SubmitMsg) bool {
	e := m.ending[msg.Job.ID]
	if e == nil || (msg.Resubmitted && !msg.JoinOnly) {
		return false
	}
	e.deferred = append(e.deferred, msg)
	return true
}

// dropDeferred removes the held back submission of a caller that no longer waits.
func (m *Model) dropDeferred(caller string) {
	for _, e := range m.ending {
		e.deferred = slices.DeleteFunc(e.deferred, func(msg SubmitMsg) bool { return msg.Caller == caller })
	}
}

// withdrawUnknown withdraws a job that isn't coordinated here: it answers its held back
// submission, unless there is none or more than one.
func (m *Model) withdrawUnknown(msg WithdrawMsg) []Cmd {
	id := msg.ID
	e := m.ending[id]
	if e == nil || len(e.deferred) != 1 || !sameQueue(e.deferred[0].Job.Queue, msg.Queue) {
		return []Cmd{LogCmd{
			ID:     id,
			Event:  "withdrawal ignored",
			Reason: core.ReasonUnknown,
		}}
	}
	caller := e.deferred[0].Caller
	e.deferred = nil
	return []Cmd{AnswerCmd{
		Caller: caller,
		ID:     id,
		Outcome: work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonCanceled,
		},
	}}
}
