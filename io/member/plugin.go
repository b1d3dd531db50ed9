package member

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/core/home"
	"rosemarywalk/core/member"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/config"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/local"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const section = "member"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 50,
		Settings: settings.Section{
			Name: section,
			Help: "Heartbeats between hosts.",
			Keys: []settings.Key{
				{
					Name:    "period",
					Default: "1s",
					Help:    "Time between heartbeats.",
					Kind: settings.Duration{
						Min: 50 * time.Millisecond,
						Max: 10 * time.Second,
					},
				},
				{
					Name:    "dead",
					Default: "5s",
					Help:    "Silence after which a host counts as dead.",
					Kind: settings.Duration{
						Min: 200 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "forget",
					Default: "10m",
					Help:    "Silence after which a host is no longer looked for.",
					Kind: settings.Duration{
						Min: time.Second,
						Max: 24 * time.Hour,
					},
				},
				{
					Name:    "known",
					Default: "4",
					Help:    "Entries about other hosts that ride on a heartbeat in turn.",
					Kind: settings.Integer{
						Min: 0,
						Max: 1000,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newFleet, newHandlers),
			fx.Invoke(run),
		),
	})
}

// needs is what the plug-in takes from others.
type needs struct {
	fx.In

	Settings    settings.Settings
	Incarnation ticket.Incarnation
	Links       *peer.Links
	Dispatcher  *dispatch.Dispatcher
	Directory   *platform.Directory
	Store       *config.Store
	Counters    *telemetry.Counters
	Log         logr.Logger
}

func newFleet(n needs) *Fleet {
	seed := binary.BigEndian.Uint64(n.Incarnation[:])
	self := member.Host{
		Incarnation: n.Incarnation.String(),
		Address:     local.PeerAddress(n.Settings),
		Domain:      n.Settings.Text("host", "domain"),
	}
	limits := member.Limits{
		DeadAfter:           n.Settings.Duration(section, "dead"),
		ForgetAfter:         n.Settings.Duration(section, "forget"),
		EntriesPerHeartbeat: n.Settings.Integer(section, "known"),
	}
	return New(Parts{
		Model:     member.New(self, limits, rand.New(rand.NewPCG(seed, seed))),
		Period:    n.Settings.Duration(section, "period"),
		Hosts:     n.Settings.Integer("fleet", "hosts"),
		Scope:     scopeOf(n.Settings),
		Peers:     n.Links,
		Sizer:     n.Dispatcher,
		Directory: n.Directory,
		Rows:      n.Store,
		Counters:  n.Counters,
		Log:       n.Log,
	})
}

func scopeOf(s settings.Settings) home.Scope {
	switch s.Text("fleet", "home") {
	case "domain":
		return home.Domain{}
	case "region":
		return home.Region{}
	case "fleet":
		return home.Fleet{}
	}
	return home.Host{}
}

// served is what the plug-in serves on peer links.
type served struct {
	fx.Out

	Beat peer.Handler `group:"handlers"`
	Pull peer.Handler `group:"handlers"`
}

func newHandlers(f *Fleet) served {
	return served{
		Beat: peer.Handler{
			Kind:  peer.KindBeat,
			Serve: f.ServeBeat,
		},
		Pull: peer.Handler{
			Kind:  peer.PartPull,
			Serve: f.ServePull,
		},
	}
}

func run(lc fx.Lifecycle, s settings.Settings, f *Fleet) {
	f.seed(s.List("peer", "seeds"))
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, f.period, func(context.Context) { f.tick() })
	})
}
