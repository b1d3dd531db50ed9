package watch

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.uber.org/fx"

	"rosemarywalk/core/listing"
	"rosemarywalk/io/local"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const (
	section     = "watch"
	sectionSelf = "self"

	evacuateFollow = "follow"
	evacuateIgnore = "ignore"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     sectionSelf,
		Order:    1,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: sectionSelf,
			Help: "This host.",
			Keys: []settings.Key{
				{
					Name:     "name",
					Default:  "host-1",
					Help:     "Name of this host, unique among all hosts.",
					Required: true,
					Kind:     settings.Text{Min: 1},
				},
				{
					Name:     "domain",
					Default:  "makati",
					Help:     "Failure domain of this host.",
					Required: true,
					Kind:     settings.Text{Min: 1},
				},
				{
					Name:    "cores",
					Default: "1",
					Help:    "CPU capacity of this host, in standard cores.",
					Kind: settings.Number{
						Min: 0.001,
						Max: 1000,
					},
				},
				{
					Name:    "share",
					Default: "1",
					Help:    "Fraction of the CPU capacity that this host may use.",
					Kind: settings.Number{
						Min: 0.001,
						Max: 1,
					},
				},
			},
		},
		Module: fx.Options(),
	})
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    30,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Reads of the platform's store.",
			Keys: []settings.Key{
				{
					Name:    "poll",
					Default: "1s",
					Help:    "Maximum time that one read waits for a change.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: 30 * time.Second,
					},
				},
				{
					Name:    "servers",
					Default: "500ms",
					Help:    "Pause between reads of the backend servers.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "hosts",
					Default: "1s",
					Help:    "Pause between reads of the hosts.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "retry",
					Default: "300ms",
					Help:    "Pause after a failed read.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "return",
					Default: "2500ms",
					Help:    "Grace period after an outage of the store in which expired entries may be written again.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "announce",
					Default: "2s",
					Help:    "Time between writes of this host's row in the store.",
					Kind: settings.Duration{
						Min: 100 * time.Millisecond,
						Max: time.Hour,
					},
				},
				{
					Name:    "evacuate",
					Default: evacuateFollow,
					Help:    "Whether nothing new is started on the backend servers of failure domains that the operator evacuates.",
					Kind:    settings.Choice{Of: []string{evacuateFollow, evacuateIgnore}},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newWatcher),
			fx.Invoke(run),
		),
	})
}

func newWatcher(source Source, s settings.Settings, counters *telemetry.Counters, log logr.Logger) *Watcher {
	w := New(source, Periods{
		Poll:    s.Duration(section, "poll"),
		Servers: s.Duration(section, "servers"),
		Hosts:   s.Duration(section, "hosts"),
		Retry:   s.Duration(section, "retry"),
		Return:  s.Duration(section, "return"),
	}, log)
	w.countRefusedRow = counters.RowRefused
	w.onEvacuated = counters.Evacuated
	w.evacuates = s.Text(section, "evacuate") == evacuateFollow
	return w
}

func run(lc fx.Lifecycle, s settings.Settings, w *Watcher) {
	self := listing.Host{
		Name:    s.Text(sectionSelf, "name"),
		Address: local.PeerAddress(s),
		Domain:  s.Text(sectionSelf, "domain"),
	}
	w.address = self.Address
	loop.Append(lc, func(ctx context.Context) { w.Run(ctx, self, s.Duration(section, "announce")) })
}

// Run follows the lists of the store, and writes the row of this host, self, to it each period,
// until ctx is done.
func (w *Watcher) Run(ctx context.Context, self listing.Host, period time.Duration) {
	var loops sync.WaitGroup
	loops.Go(func() { w.follow(ctx, listConfig, fixedPause(0), w.readConfig) })
	loops.Go(func() { w.follow(ctx, listServers, fixedPause(w.periods.Servers), w.readServers) })
	loops.Go(func() { w.follow(ctx, listHosts, w.hostsPause, w.readHosts) })
	loops.Go(func() { w.announce(ctx, self, period) })
	loops.Wait()
}

// announce writes this host's row to the store periodically until ctx is done.
func (w *Watcher) announce(ctx context.Context, self listing.Host, period time.Duration) {
	var limit listing.WaitLimit
	for ctx.Err() == nil {
		self.HeartbeatCount++
		self.RouteWaits = limit.MostUsed(w.learnedWaits())
		pause := period
		err := w.source.Announce(ctx, self)
		switch {
		case errors.Is(err, ErrRowRefused):
			w.countRefusedRow()
			w.log.Info("store refused the row of this host", "waits", len(self.RouteWaits), "error", err.Error())
			limit = limit.WithRefused(len(self.RouteWaits))
			if pause = 0; len(self.RouteWaits) == 0 {
				pause = w.periods.Retry
			}
		case err != nil:
			w.log.Info("cannot write the row of this host", "waits", len(self.RouteWaits), "error", err.Error())
			limit = limit.WithUnanswered(len(self.RouteWaits))
			pause = w.periods.Retry
		default:
			limit = limit.WithAccepted()
		}
		sleep(ctx, pause)
	}
}
