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
			Help: "Graceful shutdown.",
			Keys: []settings.Key{
				{
					Name:    "linger",
					Default: "3s",
					Help:    "How long new work is still accepted after /readyz starts to fail, so that the load balancer notices.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "limit",
					Default: "60s",
					Help:    "Longest wait for running jobs; those that remain are failed and reported.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Hour,
					},
				},
				{
					Name:    "handover",
					Default: "10s",
					Help:    "Timeout for handing the record of used tickets over to a peer.",
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

// params are the dependencies of the plug-in.
type params struct {
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

func run(lc fx.Lifecycle, p params) {
	s := &drainer{
		params:   p,
		linger:   p.Settings.Duration(section, "linger"),
		limit:    p.Settings.Duration(section, "limit"),
		handover: p.Settings.Duration(section, "handover"),
		log:      p.Log.WithName(section),
	}
	lc.Append(fx.StopHook(s.stop))
}

// results are the handlers that the plug-in provides for peer links.
type results struct {
	fx.Out

	Handover peer.Handler `group:"handlers"`
}

func newHandlers(d *dispatch.Dispatcher, f *member.Fleet, s settings.Settings, log logr.Logger) results {
	h := &handoverReceiver{
		dispatcher: d,
		fleet:      f,
		address:    local.PeerAddress(s),
		log:        log.WithName(section),
	}
	return results{Handover: peer.Handler{
		Kind:  peer.KindHandover,
		Serve: h.serve,
	}}
}

// drainer carries out the graceful shutdown.
type drainer struct {
	params
	linger   time.Duration
	limit    time.Duration
	handover time.Duration
	log      logr.Logger
}

func (s *drainer) stop(ctx context.Context) error {
	s.Flag.Stop()
	s.Fleet.Stop()
	s.log.Info("stopping", "running", s.Dispatcher.Running())
	sleep(ctx, s.linger)
	drainCtx, cancel := context.WithTimeout(ctx, s.limit)
	defer cancel()
	if failed := s.Dispatcher.Drain(drainCtx); failed > 0 {
		s.log.Info("drain limit reached", "failed", failed)
	}
	s.handOver(ctx)
	if !s.Caller.Drain(ctx) {
		s.log.Info("requests still open when the callers' listener was closed")
	}
	s.Peers.WaitIdle(ctx)
	s.log.Info("stopped")
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
