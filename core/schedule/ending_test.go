package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

const (
	unconfirmed          = 500 * time.Millisecond
	unconfirmedElsewhere = 510 * time.Millisecond // by a clock that runs 2 % fast
)

// TestSubmitWhileEnding guards against a second run of a job that was given up and comes
// again before the stop of its runs is proven.
func TestSubmitWhileEnding(t *testing.T) {
	tests := []struct {
		name     string
		limit    time.Duration // MaxUnconfirmed
		end      work.End      // "" if no end is reported
		took     time.Duration // from the end until the submission is decided
		msg      SubmitMsg
		meantime Msg        // handled while the submission waits
		early    work.State // answer before the end; "" for none
		runs     int
		late     work.State // answer after the end; "" for none
		ending   bool       // the runs still count as running
	}{
		{
			name: "sent again to this home",
			end:  work.EndStopped,
			runs: 1,
		},
		{
			name: "sent again to another home",
			end:  work.EndStopped,
			msg:  SubmitMsg{JoinOnly: true},
			late: work.Absent,
		},
		{
			name: "the end is unknown",
			end:  work.EndUnknown,
			took: announcementTTL,
			msg:  SubmitMsg{JoinOnly: true},
			late: work.Absent,
		},
		{
			name: "the end has been unknown for less than a lease",
			end:  work.EndUnknown,
			took: announcementTTL - time.Millisecond,
			msg:  SubmitMsg{JoinOnly: true},

			ending: true,
		},
		{
			name:  "the end is unknown, but the run has ended by its limit",
			limit: unconfirmed,
			end:   work.EndUnknown,
			took:  unconfirmedElsewhere,
			runs:  1,
		},
		{
			name:   "the end is not reported",
			took:   time.Minute,
			ending: true,
		},
		{
			name:  "the end is not reported, but the run has ended by its limit",
			limit: unconfirmed,
			took:  unconfirmedElsewhere,
			msg:   SubmitMsg{JoinOnly: true},
			late:  work.Absent,
		},
		{
			name:   "the end is not reported, and another host's clock may not have reached the limit",
			limit:  unconfirmed,
			took:   unconfirmedElsewhere - time.Millisecond,
			ending: true,
		},
		{
			name:  "a repeated call",
			end:   work.EndStopped,
			msg:   SubmitMsg{Resubmitted: true},
			early: work.Broken,
		},
		{
			name:     "the caller leaves",
			end:      work.EndStopped,
			meantime: CallerGoneMsg{Caller: "again"},
		},
		{
			name:     "the job is withdrawn",
			end:      work.EndStopped,
			meantime: WithdrawMsg{ID: "j"},
			early:    work.Broken,
		},
		{
			name:     "the job is canceled",
			end:      work.EndStopped,
			meantime: CancelMsg{ID: "j"},
			late:     work.Canceled,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newAnnouncingModel(self)
			m.limits.MaxUnconfirmed = test.limit
			first := submit(jobOf("j", 1))
			first.ConfirmedAt = epoch
			placed := runs(m.Update(epoch, first))
			m.Update(epoch, CallerGoneMsg{Caller: "caller-j"})
			assert.DeepEqual(t, m.Announceable(epoch), []string{"j"})
			assert.Assert(t, !m.Idle())
			test.msg.Job, test.msg.Caller = jobOf("j", 1), "again"
			cmds := m.Update(epoch, test.msg)
			if test.meantime != nil {
				cmds = append(cmds, m.Update(epoch, test.meantime)...)
			}
			assert.Equal(t, len(runs(cmds)), 0)
			assert.Equal(t, stateOf(cmds), test.early)
			cmds = nil
			if test.end != "" {
				cmds = m.Update(epoch, ended(placed[0], test.end))
			}
			if test.took > 0 {
				cmds = append(cmds, m.Update(epoch.Add(test.took), TickMsg{})...)
			}
			assert.Equal(t, len(runs(cmds)), test.runs)
			assert.Equal(t, stateOf(cmds), test.late)
			assert.Equal(t, len(m.ending) > 0, test.ending)
		})
	}
}

// TestLateReportStartsThirdRun guards against a run whose end is reported when the job has been
// submitted again, so that it is taken for the end of the task's next run.
func TestLateReportStartsThirdRun(t *testing.T) {
	m := newAnnouncingModel(self)
	m.limits.MaxUnconfirmed = unconfirmed
	msg := submit(jobOf("j", 1))
	msg.ConfirmedAt = epoch
	first := runs(m.Update(epoch, msg))[0]
	m.Update(epoch, CallerGoneMsg{Caller: msg.Caller})
	now := epoch.Add(unconfirmedElsewhere)
	m.Update(now, TickMsg{})
	msg.ConfirmedAt = now
	assert.Equal(t, len(runs(m.Update(now, msg))), 1)
	_, waiting := m.ConfirmedAt(self, first.Task)
	assert.Assert(t, !waiting)
	assert.Equal(t, len(runs(m.Update(now, ended(first, work.EndStopped)))), 0)
	m.Update(now, CallerGoneMsg{Caller: msg.Caller})
	m.Update(now, ended(first, work.EndStopped))
	assert.DeepEqual(t, m.Announceable(now), []string{"j"})
}

// stateOf returns the state of the only answer, or "" if there is none.
func stateOf(cmds []Cmd) work.State {
	for _, answer := range answers(cmds) {
		return answer.Outcome.State
	}
	return ""
}

// TestEndedJobIsForgotten guards against a job that is announced forever because the end of
// its last run ended it.
func TestEndedJobIsForgotten(t *testing.T) {
	tests := []struct {
		name string
		end  work.End
		want work.State
	}{
		{
			name: "completed",
			end:  work.EndDone,
			want: work.Completed,
		},
		{
			name: "failed",
			end:  work.EndFailed,
			want: work.Failed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newAnnouncingModel(self)
			job := jobOf("j", 1)
			job.MaxAttempts = 1
			placed := runs(m.Update(epoch, submit(job)))
			assert.Equal(t, stateOf(m.Update(epoch, ended(placed[0], test.end))), test.want)
			assert.Equal(t, len(m.Announceable(epoch.Add(time.Minute))), 0)
		})
	}
}

// TestUnknownEndIsAnnounced guards against a start at another home of a job that was given
// up because the end of a run is unknown.
func TestUnknownEndIsAnnounced(t *testing.T) {
	m := newAnnouncingModel(self)
	placed := runs(m.Update(epoch, submit(jobOf("j", 2))))
	got := answers(m.Update(epoch, ended(placed[0], work.EndUnknown)))
	assert.Equal(t, got[0].Outcome.Reason, core.ReasonUnknown)
	m.Update(epoch, ended(placed[1], work.EndStopped))
	tests := []struct {
		name string
		age  time.Duration
		want []string
	}{
		{
			name: "it may still run",
			age:  announcementTTL - time.Millisecond,
			want: []string{"j"},
		},
		{
			name: "its lease has expired",
			age:  announcementTTL,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m.Update(epoch.Add(test.age), TickMsg{})
			assert.DeepEqual(t, m.Announceable(epoch.Add(test.age)), test.want)
		})
	}
}

// TestUnknownEndOnSlowClock guards against a job that is started while a run of it whose end is
// unknown still holds its lease, as its server's clock is slow, or is still being stopped.
func TestUnknownEndOnSlowClock(t *testing.T) {
	const (
		lease = 2 * announcementTTL
		stop  = 49 * time.Millisecond
	)
	slow := epoch.Add(lease + stop + 2*(lease+stop)/98)
	tests := []struct {
		name string
		end  func(m *Model)
		held func(m *Model, now time.Time) bool
	}{
		{
			name: "own run",
			end: func(m *Model) {
				run := runs(m.Update(epoch, submit(jobOf("j", 1))))[0]
				m.Update(epoch, CallerGoneMsg{Caller: "caller-j"})
				m.Update(epoch, ended(run, work.EndUnknown))
			},
			held: func(m *Model, now time.Time) bool {
				m.Update(now, TickMsg{})
				return len(m.ending) > 0
			},
		},
		{
			name: "lent run",
			end: func(m *Model) {
				lend(m, thirdHome)
				endLent(m, epoch, work.EndUnknown)
			},
			held: func(m *Model, now time.Time) bool {
				_, lent := m.lentTo(now, "j")
				return lent
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newAnnouncingModel(self)
			m.limits.MaxLease, m.limits.StopTimeout = lease, stop
			test.end(m)
			assert.Assert(t, test.held(m, slow))
			assert.Assert(t, !test.held(m, slow.Add(time.Millisecond)))
		})
	}
}
