package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// TestSubmitWhileEnding guards against a second run of a job that was given up and comes
// again before the stop of its runs is proven.
func TestSubmitWhileEnding(t *testing.T) {
	tests := []struct {
		name     string
		end      work.End
		took     time.Duration // from the end until the submission is decided
		msg      SubmitMsg
		meantime Msg        // handled while the submission waits
		early    work.State // answer before the end; "" for none
		runs     int
		late     work.State // answer after the end; "" for none
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
			placed := runs(m.Update(epoch, submit(jobOf("j", 1))))
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
			cmds = m.Update(epoch, ended(placed[0], test.end))
			if test.took > 0 {
				cmds = append(cmds, m.Update(epoch.Add(test.took), TickMsg{})...)
			}
			assert.Equal(t, len(runs(cmds)), test.runs)
			assert.Equal(t, stateOf(cmds), test.late)
			assert.Equal(t, len(m.ending) == 0, test.end != work.EndUnknown || test.took >= announcementTTL)
		})
	}
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
