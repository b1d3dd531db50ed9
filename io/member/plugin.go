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
					Help:    "Time without a heartbeat after which a host is considered dead.",
					Kind: settings.Duration{
						Min: 200 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "forget",
					Default: "10m",
					Help:    "Time without a heartbeat after which a host is no longer contacted.",
					Kind: settings.Duration{
						Min: time.Second,
						Max: 24 * time.Hour,
					},
				},
				{
					Name:    "known",
					Default: "4",
					Help:    "Number of other hosts listed in each heartbeat, in rotation.",
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

// params are the dependencies of the plug-in.
type params struct {
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

func newFleet(p params) *Fleet {
	seed := binary.BigEndian.Uint64(p.Incarnation[:])
	self := member.Host{
		Incarnation: p.Incarnation.String(),
		Address:     local.PeerAddress(p.Settings),
		Domain:      p.Settings.Text("host", "domain"),
	}
	limits := member.Limits{
		DeadAfter:           p.Settings.Duration(section, "dead"),
		ForgetAfter:         p.Settings.Duration(section, "forget"),
		EntriesPerHeartbeat: p.Settings.Integer(section, "known"),
	}
	return New(Options{
		Model:      member.New(self, limits, rand.New(rand.NewPCG(seed, seed))),
		Period:     p.Settings.Duration(section, "period"),
		MaxHosts:   p.Settings.Integer("fleet", "hosts"),
		Scope:      homeScope(p.Settings),
		Peers:      p.Links,
		Dispatcher: p.Dispatcher,
		Directory:  p.Directory,
		Rows:       p.Store,
		Counters:   p.Counters,
		Log:        p.Log,
	})
}

func homeScope(s settings.Settings) home.Scope {
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

// results are the handlers that the plug-in provides for peer links.
type results struct {
	fx.Out

	Beat peer.Handler `group:"handlers"`
	Pull peer.Handler `group:"handlers"`
}

func newHandlers(f *Fleet) results {
	return results{
		Beat: peer.Handler{
			Kind:  peer.KindBeat,
			Serve: f.ServeBeat,
		},
		Pull: peer.Handler{
			Kind:  peer.KindPull,
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
