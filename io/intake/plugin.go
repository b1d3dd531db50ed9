package intake

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"golang.org/x/sys/unix"

	"rosemarywalk/io/memory"
	"rosemarywalk/io/server"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "intake"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 0,
		Editions: []kernel.Edition{
			kernel.Standalone,
			kernel.Platform,
		},
		Settings: settings.Section{
			Name: section,
			Help: "Limits on what clients send and hold. On the users' platform its configuration goes before head, begin and idle at the callers' listener.",
			Keys: keys(),
		},
		Module: fx.Provide(New),
	})
}

func keys() []settings.Key {
	timeout := settings.Duration{
		Min: 10 * time.Millisecond,
		Max: 24 * time.Hour,
	}
	share := settings.Number{
		Min: 0,
		Max: 1,
	}
	return []settings.Key{
		{
			Name:    "share",
			Default: "0.125",
			Help:    "Share of the memory ([memory] host) that requests may hold while they are read; 0 sets no limit.",
			Kind:    share,
		},
		{
			Name:    "head",
			Default: "65536",
			Help:    "Maximum size of a request's header, in bytes.",
			Kind: settings.Integer{
				Min: 1024,
				Max: 16 << 20,
			},
		},
		{
			Name:    "begin",
			Default: "10s",
			Help:    "Longest time from the first byte of a request's header to its end.",
			Kind:    timeout,
		},
		{
			Name:    "stall",
			Default: "10s",
			Help:    "Longest time without a byte of a request's body.",
			Kind:    timeout,
		},
		{
			Name:    "idle",
			Default: "10m",
			Help:    "Longest time that a connection is kept without a request.",
			Kind:    timeout,
		},
		{
			Name:    "files",
			Default: "0",
			Help:    "Descriptors available to the process; 0 is its resource limit.",
			Kind: settings.Integer{
				Min: 0,
				Max: 100_000_000,
			},
		},
		{
			Name:    "callers",
			Default: "0.55",
			Help:    "Share of the descriptors for callers' connections; 0 sets no limit.",
			Kind:    share,
		},
		{
			Name:    "peers",
			Default: "0.2",
			Help:    "Share of the descriptors for connections from other hosts; 0 sets no limit.",
			Kind:    share,
		},
		{
			Name:    "others",
			Default: "64",
			Help:    "Maximum number of connections of each other listener; 0 sets no limit.",
			Kind: settings.Integer{
				Min: 0,
				Max: 1_000_000,
			},
		},
	}
}

// Intake holds the guards of the listeners.
type Intake struct {
	callers  *server.Guard
	peers    *server.Guard
	gate     *server.Gate
	others   int
	defaults server.Limits
	current  atomic.Pointer[server.Limits] // of callers
}

// connectionShare is the share of the memory for the connections of one listener.
const connectionShare = 0.25

// New returns the guards that the settings describe.
func New(s settings.Settings, r *prometheus.Registry, log logr.Logger) *Intake {
	available := float64(memory.Available(s))
	i := &Intake{
		gate:   server.NewGate(int64(available*s.Number(section, "share")), r, log),
		others: s.Integer(section, "others"),
		defaults: server.Limits{
			HeadBytes:   s.Integer(section, "head"),
			HeadTimeout: s.Duration(section, "begin"),
			BodyTimeout: s.Duration(section, "stall"),
			IdleTimeout: s.Duration(section, "idle"),
		},
	}
	i.current.Store(&i.defaults)
	files := float64(descriptors(s))
	connections := func(share float64) int {
		if share == 0 {
			return 0
		}
		limit := max(1, files*share)
		if available > 0 {
			limit = min(limit, available*connectionShare/server.ConnectionCost)
		}
		return int(limit)
	}
	i.callers = i.gate.Guard(connections(s.Number(section, "callers")), func() server.Limits { return *i.current.Load() })
	i.callers.LimitBuffers()
	i.peers = i.gate.Guard(connections(s.Number(section, "peers")), i.limits)
	return i
}

// descriptors returns the number of descriptors that the process may have open.
func descriptors(s settings.Settings) int {
	const unknown = 1024
	if files := s.Integer(section, "files"); files > 0 {
		return files
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	const most = 100_000_000
	return int(min(limit.Cur, most))
}

func (i *Intake) limits() server.Limits { return i.defaults }

// Callers returns the guard of the callers' listener.
func (i *Intake) Callers() *server.Guard { return i.callers }

// Peers returns the guard of the listener for other hosts.
func (i *Intake) Peers() *server.Guard { return i.peers }

// Other returns a guard for any other listener.
func (i *Intake) Other() *server.Guard { return i.gate.Guard(i.others, i.limits) }

// SetCallers sets the limits of callers' requests. Those that are 0 keep their defaults.
func (i *Intake) SetCallers(l server.Limits) {
	limits := i.defaults
	if l.HeadBytes > 0 {
		limits.HeadBytes = l.HeadBytes
	}
	if l.HeadTimeout > 0 {
		limits.HeadTimeout = l.HeadTimeout
	}
	if l.BodyTimeout > 0 {
		limits.BodyTimeout = l.BodyTimeout
	}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout = l.IdleTimeout
	}
	i.current.Store(&limits)
}
