package place

import (
	"slices"
	"time"

	"rosemarywalk/core"
)

// evacuatedRetryAfter is the delay that a caller is told to wait while no server may be used.
const evacuatedRetryAfter = time.Second

// allEvacuated reports whether there are servers, all in evacuated failure domains.
func (m *Model) allEvacuated() bool {
	return len(m.servers) > 0 && !slices.ContainsFunc(m.servers, func(b *backend) bool { return !b.Evacuated })
}

// refuseWaiting refuses the jobs at the head of the queue of which no task was sent.
func (m *Model) refuseWaiting() []Cmd {
	var cmds []Cmd
	for {
		id, ok := m.queue.Peek()
		if !ok || m.jobs[id].started {
			return cmds
		}
		m.revoke(id)
		cmds = append(cmds, RefuseCmd{
			ID:         id,
			Reason:     core.ReasonEvacuated,
			RetryAfter: evacuatedRetryAfter,
		})
	}
}
