package place

import (
	"time"

	"rosemarywalk/core/health"
)

// backend is one server as this host sees it.
type backend struct {
	Server
	health      health.Server
	outstanding int
}

// open reports whether the server may be sent one more task.
func (b *backend) open(now time.Time, connections int) bool {
	if b.Leaving || b.outstanding >= connections {
		return false
	}
	switch b.health.State(now) {
	case health.Up:
		return true
	case health.Probing:
		return b.outstanding == 0
	case health.Ejected:
	}
	return false
}

// load orders servers by own tasks per slot.
func (b *backend) load() float64 { return float64(b.outstanding) / float64(max(1, b.Slots)) }
