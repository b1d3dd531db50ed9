package watch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
)

// ErrCompacted says that changes after a position are no longer kept, so that
// everything must be read anew.
const ErrCompacted = errors.ConstError("history is gone")

// ConfigPage is the newest configuration, of version 0 where none is new.
type ConfigPage struct {
	Config   route.Config
	Raw      []byte // as the operator wrote it
	Position int64
}

// InvalidEntry is an entry that names no backend server.
type InvalidEntry struct {
	Key string
	Err error
}

// ServersPage is backend servers that changed.
type ServersPage struct {
	Servers  []listing.Server
	Gone     []string // IDs
	Bad      []InvalidEntry
	Position int64
	Full     bool // what isn't on the page is gone
}

// HostsPage is hosts that changed.
type HostsPage struct {
	Hosts    []listing.Host
	Gone     []string // names
	Position int64
	Full     bool // what isn't on the page is gone
}

// Source reads lists; after position 0 it gives the whole list, and otherwise
// waits for changes. It returns ErrHistory when it can't go on from a position.
type Source interface {
	Config(ctx context.Context, after int64, wait time.Duration) (ConfigPage, error)
	Servers(ctx context.Context, after int64, wait time.Duration) (ServersPage, error)
	Hosts(ctx context.Context, after int64, wait time.Duration) (HostsPage, error)
	// Decode reads a configuration as the operator wrote it.
	Decode(raw []byte) (route.Config, error)
	Announce(ctx context.Context, h listing.Host) error
}
