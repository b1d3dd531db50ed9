package watch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core/evacuation"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
)

// ErrCompacted means that the store no longer keeps the changes after a position, so
// that the full list must be read again.
const ErrCompacted = errors.ConstError("store history is compacted")

// ErrTooManyChanges means that the changes after a position don't fit into one response, so
// that the full list must be read again.
const ErrTooManyChanges = errors.ConstError("too many changes in the store")

// ErrRowRefused means that the store doesn't take a row as it is, for example as it is too
// large.
const ErrRowRefused = errors.ConstError("store refused the row")

// ErrRowChanged means that a row isn't removed, as it has changed.
const ErrRowChanged = errors.ConstError("row has changed")

// ConfigPage is the newest configuration; version 0 means that it hasn't changed. With it come
// the evacuations that changed, or all of them.
type ConfigPage struct {
	Config      route.Config
	Raw         []byte // as the operator wrote it
	Evacuations []evacuation.Change
	Invalid     []InvalidEntry
	Position    int64
	Full        bool // failure domains that are not on the page are not evacuated
}

// InvalidEntry is a store entry that can't be decoded, or names no backend server or host.
type InvalidEntry struct {
	Key     string
	Version int64 // of the store
	Err     error
}

// ServersPage holds the backend servers that changed, or all of them.
type ServersPage struct {
	Servers  []listing.Server
	Removed  []string // IDs of removed servers
	Invalid  []InvalidEntry
	Position int64
	Full     bool // entries that are not on the page were removed
}

// HostsPage holds the hosts that changed, or all of them.
type HostsPage struct {
	Hosts    []listing.Host
	Removed  []string // names of removed hosts
	Invalid  []InvalidEntry
	Position int64
	Full     bool      // entries that are not on the page were removed
	ReadAt   time.Time // by another host; zero if this one has just read the store
}

// Source reads the lists of the store. After position 0 it returns the full list, and
// otherwise waits for changes. It returns ErrCompacted if the changes after a position
// are no longer kept, and ErrTooManyChanges if there are too many.
type Source interface {
	Config(ctx context.Context, after int64, wait time.Duration) (ConfigPage, error)
	// Refresh returns the configuration as Config does after position 0, over a new connection.
	Refresh(ctx context.Context) (ConfigPage, error)
	Servers(ctx context.Context, after int64, wait time.Duration) (ServersPage, error)
	Hosts(ctx context.Context, after int64, wait time.Duration) (HostsPage, error)
	// Decode parses a configuration as the operator wrote it.
	Decode(raw []byte) (route.Config, error)
	// Announce writes this host's row, without the last ones of its waits if they don't fit. It
	// returns ErrRowRefused if the store doesn't take the row as it is.
	Announce(ctx context.Context, h listing.Host) error
	// Remove removes a host's row if its counter and address are still the given ones. It
	// returns ErrRowChanged if they aren't, or the row is gone.
	Remove(ctx context.Context, h listing.Host) error
}
