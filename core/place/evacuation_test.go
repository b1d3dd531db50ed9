package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/queue"
	"rosemarywalk/internal/pick"
)

// TestEvacuated checks that nothing new is sent to evacuated servers, neither a first attempt nor
// a retry, and that jobs are refused at once while there are no others.
func TestEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	emptied, other := serverOf(0), serverOf(1)
	m := newModel(LeastOutstanding{}, emptied, other)
	emptied.Evacuated = true
	m.Update(now, ServersMsg{Servers: []Server{emptied, other}})
	started := pick.OfType[StartCmd](m.Update(now, enqueue(1, 3)))
	assert.Assert(t, len(started) > 0)
	for _, cmd := range started {
		assert.Equal(t, cmd.Server, other.ID)
	}
	_, usable := m.Servers(now)
	assert.Equal(t, usable, 1)
	other.Evacuated = true
	m.Update(now, ServersMsg{Servers: []Server{emptied, other}})
	refused := pick.OfType[RefuseCmd](m.Update(now, enqueue(2, 1)))
	assert.Equal(t, refused[0].Reason, core.ReasonEvacuated)
	assert.Equal(t, refused[0].RetryAfter, evacuatedRetryAfter)
	retried := m.Update(now, DoneMsg{
		Ref: queue.Ref{
			ID:    started[0].Ref.ID,
			Index: started[0].Ref.Index,
		},
		Server: other.ID,
		Result: Refused,
	})
	assert.Equal(t, len(pick.OfType[StartCmd](retried)), 0)
}

// TestWaitingEvacuated guards against jobs that wait until their deadline for servers that were
// evacuated after they came.
func TestWaitingEvacuated(t *testing.T) {
	now := time.Unix(1000, 0)
	only := serverOf(0)
	only.Slots, only.Connections = 1, 1
	m := newModel(LeastOutstanding{}, only)
	assert.Equal(t, len(pick.OfType[StartCmd](m.Update(now, enqueue(1, 1)))), 1)
	assert.Equal(t, len(pick.OfType[AcceptCmd](m.Update(now, enqueue(2, 1)))), 1)
	only.Evacuated = true
	refused := pick.OfType[RefuseCmd](m.Update(now, ServersMsg{Servers: []Server{only}}))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID.Sequence, uint64(2))
	assert.Equal(t, refused[0].Reason, core.ReasonEvacuated)
}
