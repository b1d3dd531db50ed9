package roster

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	mrand "math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/io/late"
	"rosemarywalk/io/local"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/kernel"
)

const section = "roster"

// Values of the setting revote.
const (
	revoteSoon   = "soon"
	revoteInTurn = "turn"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    40,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Heartbeats between hosts.",
			Keys: []settings.Key{
				{
					Name:    "period",
					Default: "100ms",
					Help:    "Time between heartbeats.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: 10 * time.Second,
					},
				},
				{
					Name:    "dead",
					Default: "600ms",
					Help:    "Time without a heartbeat after which a host counts as dead.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "stale",
					Default: "6s",
					Help:    "Age of a host's row in the store at which the host counts as dead if it sends no heartbeats either.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: time.Hour,
					},
				},
				{
					Name:    "outage",
					Default: "9s",
					Help:    "Time without a read of the hosts' rows after which a host votes for nobody. Hosts that are new give no votes for as long. All hosts need the same.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: time.Hour,
					},
				},
				{
					Name:    "forget",
					Default: "60s",
					Help:    "Time without a heartbeat after which a host is no longer contacted.",
					Kind: settings.Duration{
						Min: time.Second,
						Max: 24 * time.Hour,
					},
				},
				{
					Name:    "known",
					Default: "4",
					Help:    "Entries about other hosts that each heartbeat carries, in rotation.",
					Kind: settings.Integer{
						Min: 0,
						Max: 1000,
					},
				},
				{
					Name:    "relays",
					Default: "4",
					Help:    "Relays per failure domain: they receive the heartbeats of all its hosts, and the other hosts only those of the relays; 0 lets all hosts exchange heartbeats directly.",
					Kind: settings.Integer{
						Min: 0,
						Max: 1000,
					},
				},
				{
					Name:    "fan",
					Default: "4",
					Help:    "Non-relay hosts to which one relay sends a heartbeat in each period.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1000,
					},
				},
				{
					Name:    "rest",
					Default: "5",
					Help:    "Periods between heartbeats of a host that is not a relay.",
					Kind: settings.Integer{
						Min: 1,
						Max: 1000,
					},
				},
				{
					Name:    "revote",
					Default: revoteSoon,
					Help:    "When a host that is not a relay tells the relays that it takes another host as the first home of its failure domain: in the next period, or in its turn.",
					Kind:    settings.Choice{Of: []string{revoteSoon, revoteInTurn}},
				},
				{
					Name:    "readers",
					Default: "4",
					Help:    "Number of hosts in a failure domain up to which each reads the store's lists itself; in larger domains one host reads them and sends updates to the others.",
					Kind: settings.Integer{
						Min: 0,
						Max: 100000,
					},
				},
				{
					Name:    "fresh",
					Default: "1600ms",
					Help:    "Age of the last list update from another host at which a host reads the store's lists itself.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "step",
					Default: "200ms",
					Help:    "Additional delay per rank before the next host of a failure domain starts to read the store's lists.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "inherit",
					Default: "200ms",
					Help:    "Time after its start from which a host that could not read the store's lists fetches those that other hosts have read; 0 for never.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "perhome",
					Default: "100",
					Help:    "Maximum number of backend servers per home, while its failure domain has enough hosts.",
					Kind: settings.Integer{
						Min: 1,
						Max: 100000,
					},
				},
				{
					Name:    "percore",
					Default: "150",
					Help:    "Maximum number of backend servers per core of a failure domain's homes; if the homes have too few cores, more hosts become homes.",
					Kind: settings.Integer{
						Min: 1,
						Max: 100000,
					},
				},
				{
					Name:    "target",
					Default: "150",
					Help:    "Backend servers per core up to which a failure domain's homes have processor time in reserve; if there are more, further hosts become homes that are as strong as the weakest one.",
					Kind: settings.Integer{
						Min: 1,
						Max: 100000,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newRoster, newHandlers),
			fx.Invoke(run),
		),
	})
}

const millicoresPerCore = 1000

// incarnationBytes is the length of the random ID of a process.
const incarnationBytes = 16

func newRoster(s settings.Settings, links *peer.Links, counters *telemetry.Counters, log logr.Logger) (*Roster, error) {
	var name [incarnationBytes]byte
	if _, err := rand.Read(name[:]); err != nil {
		return nil, errors.Annotate(err, "generate incarnation")
	}
	seed := binary.BigEndian.Uint64(name[:])
	self := member.Host{
		Incarnation:     hex.EncodeToString(name[:]),
		Address:         local.PeerAddress(s),
		Domain:          s.Text("self", "domain"),
		StartedAtMillis: time.Now().UnixMilli(),
		CPU:             int(millicoresPerCore * s.Number("self", "cores") * s.Number("self", "share")),
	}
	limits := member.Limits{
		DeadAfter:           s.Duration(section, "dead"),
		ForgetAfter:         s.Duration(section, "forget"),
		EntriesPerHeartbeat: s.Integer(section, "known"),
		Relays:              s.Integer(section, "relays"),
		RelayFanOut:         s.Integer(section, "fan"),
		NonRelayPeriods:     s.Integer(section, "rest"),
		Period:              s.Duration(section, "period"),
		RevoteSoon:          s.Text(section, "revote") == revoteSoon,
	}
	model := member.New(self, limits, mrand.New(mrand.NewPCG(seed, seed)))
	r := New(model, links, s.Duration(section, "period"), s.Duration(section, "stale"), s.Integer(section, "perhome"), s.Integer(section, "percore"), s.Integer(section, "target"), counters, log)
	r.SetMaxReadAge(s.Duration(section, "outage"))
	return r, nil
}

// handlers holds the handlers of this plug-in for frames on peer links.
type handlers struct {
	fx.Out

	Beat    peer.Handler `group:"handlers"`
	Fetch   peer.Handler `group:"handlers"`
	List    peer.Handler `group:"handlers"`
	Listing peer.Handler `group:"handlers"`
}

func newHandlers(lc fx.Lifecycle, s settings.Settings, r *Roster, links *peer.Links, w *watch.Watcher, meter *late.Meter, counters *telemetry.Counters, log logr.Logger) handlers {
	f := &configFetcher{
		peers:   links,
		watcher: w,
		log:     log.WithName(section),
	}
	r.OnVersion(f.handleVersion)
	r.SetEvacuated(w.Evacuated)
	r.OnEvacuated(w.OfferEvacuated)
	l := &listSharer{
		peers:    links,
		roster:   r,
		watcher:  w,
		meter:    meter,
		counters: counters,
		log:      log.WithName(section),
		role: listing.NewReaderRole(listing.ReaderRoleLimits{
			MaxReaders:   s.Integer(section, "readers"),
			MaxUpdateAge: s.Duration(section, "fresh"),
			RankDelay:    s.Duration(section, "step"),
		}),
	}
	w.SetShouldRead(l.shouldRead)
	w.OnUpdate(l.publishUpdate)
	if after := s.Duration(section, "inherit"); after > 0 {
		loop.Append(lc, func(ctx context.Context) {
			select {
			case <-ctx.Done():
			case <-time.After(after):
				l.inherit(ctx)
			}
		})
	}
	return handlers{
		List: peer.Handler{
			Kind:  peer.KindList,
			Serve: l.serve,
		},
		Listing: peer.Handler{
			Kind:    peer.KindListing,
			Serve:   l.handleListing,
			InOrder: true,
		},
		Beat: peer.Handler{
			Kind:    peer.KindBeat,
			Serve:   r.ServeBeat,
			InOrder: true,
		},
		Fetch: peer.Handler{
			Kind:  peer.KindFetch,
			Serve: f.serve,
		},
	}
}

// removePeriod is the time between checks for rows to remove.
const removePeriod = time.Second

func run(lc fx.Lifecycle, w *watch.Watcher, r *Roster) {
	w.OnHostsRead(r.setHostsRead)
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, removePeriod, func(ctx context.Context) { r.removeAbandoned(ctx, w.RemoveHost) })
	})
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, r.period, func(context.Context) { r.tick() })
	})
}
