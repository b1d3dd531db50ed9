package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/internal/pick"
)

// TestStartedWithoutCaller checks that no task starts for a caller that isn't known to wait,
// and that all start once it is.
func TestStartedWithoutCaller(t *testing.T) {
	const maxAge = 400 * time.Millisecond
	withMaxAge := limits
	withMaxAge.MaxConfirmAge = maxAge
	tests := []struct {
		name        string
		confirmedAt time.Time
		confirm     time.Time
		started     int // when the job is submitted
		resumed     int // after the confirmation
	}{
		{
			name:        "waits now",
			confirmedAt: epoch,
			confirm:     epoch.Add(1),
			started:     2,
		},
		{
			name:    "never confirmed",
			confirm: epoch,
			resumed: 2,
		},
		{
			name:        "confirmed too long ago",
			confirmedAt: epoch.Add(-maxAge - 1),
			confirm:     epoch.Add(-maxAge),
			resumed:     2,
		},
		{
			name:        "confirmed too long ago, twice",
			confirmedAt: epoch.Add(-maxAge - 2),
			confirm:     epoch.Add(-maxAge - 1),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(self, withMaxAge)
			m.Update(epoch, CapacityMsg{
				Host:     self,
				Capacity: poolWith(4),
			})
			msg := submit(jobOf("j", 2))
			msg.ConfirmedAt = test.confirmedAt
			assert.Equal(t, len(runs(m.Update(epoch, msg))), test.started)
			cmds := m.Update(epoch, ConfirmMsg{Callers: []Confirmation{{
				Caller: msg.Caller,
				At:     test.confirm,
			}}})
			assert.Equal(t, len(runs(cmds)), test.resumed)
			for _, run := range runs(cmds) {
				assert.Assert(t, run.Task.ConfirmedAt.Equal(test.confirm))
			}
		})
	}
}

// TestConfirmedRuns checks that confirmations reach the own pool, and that lent runs are
// confirmed until the job ends, by the caller that was seen last.
func TestConfirmedRuns(t *testing.T) {
	m := New(self, limits)
	for _, host := range []string{self, "lender"} {
		m.Update(epoch, CapacityMsg{
			Host:     host,
			Capacity: poolWith(1),
		})
	}
	placed := runs(m.Update(epoch, submit(jobOf("j", 3))))
	assert.Equal(t, len(placed), 3)
	lent := placed[2]
	assert.Equal(t, lent.Host, "lender")
	other := submit(jobOf("j", 3))
	other.Caller = "other"
	m.Update(epoch, other)
	now := epoch.Add(time.Second)
	cmds := m.Update(now, ConfirmMsg{Callers: []Confirmation{
		{
			Caller: "other",
			At:     now,
		},
		{
			Caller: "caller-j",
			At:     now.Add(-1),
		},
	}})
	confirmed := pick.OfType[ConfirmCmd](cmds)
	assert.Equal(t, len(confirmed), 1)
	assert.Assert(t, confirmed[0].At.Equal(now))
	at, waiting := m.ConfirmedAt("lender", lent.Task)
	assert.Assert(t, waiting && at.Equal(now))
	_, waiting = m.ConfirmedAt(self, lent.Task)
	assert.Assert(t, !waiting)
	m.Update(now, CancelMsg{ID: "j"})
	_, waiting = m.ConfirmedAt("lender", lent.Task)
	assert.Assert(t, !waiting)
}
