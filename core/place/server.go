package place

import (
	"time"

	"rosemarywalk/core/health"
)

// backend is the state of one backend server at this host.
type backend struct {
	Server
	health      health.Server
	outstanding int
}

// accepts reports whether one more task may be sent to the server.
func (b *backend) accepts(now time.Time, connections int) bool {
	if b.closed() || b.outstanding >= connections {
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

// closed reports whether no new task may be sent to the server, however well it is.
func (b *backend) closed() bool { return b.Leaving || b.Evacuated }

// load returns the outstanding tasks of this host per slot.
func (b *backend) load() float64 { return float64(b.outstanding) / float64(max(1, b.Slots)) }
