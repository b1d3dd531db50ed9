package drain

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/core/ticket"
	"rosemarywalk/io/caller"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/local"
	"rosemarywalk/io/member"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const section = "drain"

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 100,
		Settings: settings.Section{
			Name: section,
			Help: "The planned stop.",
			Keys: []settings.Key{
				{
					Name:    "linger",
					Default: "3s",
					Help:    "How long new work is still taken after /readyz fails, for the balancer to notice.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "limit",
					Default: "60s",
					Help:    "Longest wait for running jobs; those left are failed, and reported.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Hour,
					},
				},
				{
					Name:    "handover",
					Default: "10s",
					Help:    "Longest time spent on handing over the memory of used tickets.",
					Kind: settings.Duration{
						Min: 0,
						Max: 10 * time.Minute,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newHandlers),
			fx.Invoke(run),
		),
	})
}

// needs is what the plug-in takes from others.
type needs struct {
	fx.In

	Settings    settings.Settings
	Incarnation ticket.Incarnation
	Flag        *ready.Flag
	Dispatcher  *dispatch.Dispatcher
	Fleet       *member.Fleet
	Links       *peer.Links
	Caller      caller.Server
	Peers       *peer.Server
	Log         logr.Logger
}

func run(lc fx.Lifecycle, n needs) {
	s := &stopper{
		needs:    n,
		linger:   n.Settings.Duration(section, "linger"),
		limit:    n.Settings.Duration(section, "limit"),
		handover: n.Settings.Duration(section, "handover"),
		log:      n.Log.WithName(section),
	}
	lc.Append(fx.StopHook(s.stop))
}

// served is what the plug-in serves on peer links.
type served struct {
	fx.Out

	Handover peer.Handler `group:"handlers"`
}

func newHandlers(d *dispatch.Dispatcher, f *member.Fleet, s settings.Settings, log logr.Logger) served {
	h := &successor{
		dispatcher: d,
		fleet:      f,
		address:    local.PeerAddress(s),
		log:        log.WithName(section),
	}
	return served{Handover: peer.Handler{
		Kind:  peer.PartHandover,
		Serve: h.serve,
	}}
}

// stopper carries out the planned stop, step by step.
type stopper struct {
	needs
	linger   time.Duration
	limit    time.Duration
	handover time.Duration
	log      logr.Logger
}

func (s *stopper) stop(ctx context.Context) error {
	s.Flag.Stop()
	s.Fleet.Stop()
	s.log.Info("stopping", "running", s.Dispatcher.Running())
	pause(ctx, s.linger)
	limited, cancel := context.WithTimeout(ctx, s.limit)
	defer cancel()
	if cut := s.Dispatcher.Drain(limited); cut > 0 {
		s.log.Info("drain limit reached", "failed", cut)
	}
	s.handOver(ctx)
	if !s.Caller.Drain(ctx) {
		s.log.Info("callers were cut")
	}
	s.Peers.Finish(ctx)
	s.log.Info("stopped")
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
