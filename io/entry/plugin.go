package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"rosemarywalk/io/loop"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/scheduler"
	"rosemarywalk/io/server"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/kernel"
)

const section = "entry"

func init() {
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    100,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Callers of this host, and the planned stop.",
			Keys: []settings.Key{
				{
					Name:     "listen",
					Default:  "127.0.0.1:7000",
					Help:     "Where callers connect.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:     "ready",
					Default:  "127.0.0.1:7001",
					Help:     "Where the platform asks whether this host takes callers.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:     "metrics",
					Default:  "127.0.0.1:7002",
					Help:     "Where metrics are served, under /metrics.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:    "hold",
					Default: "1s",
					Help:    "Longest time that a job waits at a host that has just started and doesn't know yet where jobs go.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Hour,
					},
				},
				{
					Name:    "linger",
					Default: "3s",
					Help:    "How long callers are still taken after a planned stop began, for the balancer to notice.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "grace",
					Default: "6s",
					Help:    "Time after which the platform kills a process that it told to stop.",
					Kind: settings.Duration{
						Min: time.Second,
						Max: time.Hour,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newHandler),
			fx.Invoke(listen),
		),
	})
}

// needs is what the plug-in takes from others.
type needs struct {
	fx.In

	Settings  settings.Settings
	Format    Format
	Watcher   *watch.Watcher
	Roster    *roster.Roster
	Scheduler *scheduler.Scheduler
	Flag      *ready.Flag
	Counters  *telemetry.Counters
	Latency   *telemetry.Latency
	Log       logr.Logger
}

func newHandler(n needs) *Handler {
	h := &Handler{
		opening:   newOpening(n.Settings.Duration(section, "hold")),
		waits:     waits{routes: map[string]float64{}},
		format:    n.Format,
		watcher:   n.Watcher,
		roster:    n.Roster,
		scheduler: n.Scheduler,
		flag:      n.Flag,
		counters:  n.Counters,
		latency:   n.Latency,
		log:       n.Log.WithName("entry"),
	}
	n.Watcher.SetLearned(h.waits.learned)
	n.Watcher.OnHosts(h.waits.take)
	return h
}

func listen(lc fx.Lifecycle, s settings.Settings, h *Handler, registry *prometheus.Registry, log logr.Logger) {
	probes := mux.NewRouter()
	probes.HandleFunc(h.format.Readiness(), h.Ready)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	callers := server.New("callers", s.Text(section, "listen"), h.Router(), log)
	others := []*server.Server{
		server.New("readiness", s.Text(section, "ready"), probes, log),
		server.New("metrics", s.Text(section, "metrics"), metrics, log),
	}
	loop.Append(lc, h.open)
	for _, web := range others {
		lc.Append(fx.StartStopHook(web.Start, web.Close))
	}
	lc.Append(fx.StartStopHook(callers.Start, func() {
		h.drain(callers, s.Duration(section, "linger"), s.Duration(section, "grace"))
	}))
}

// stopMargin is kept between the end of the drain and the platform's kill.
const stopMargin = 500 * time.Millisecond

// drain is the planned stop: no new homes, no new callers, and an answer for
// every request in hand.
func (h *Handler) drain(callers *server.Server, linger, grace time.Duration) {
	h.log.Info("stop began", "busy", h.scheduler.Unfinished())
	end := time.Now().Add(grace - stopMargin)
	h.flag.Stop()
	h.roster.Stop()
	time.Sleep(min(linger, grace/2))
	// What is taken from here on might not end before the process is killed.
	h.leaving.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	complete := callers.Drain(ctx)
	h.log.Info("callers drained", "busy", h.scheduler.Unfinished(), "complete", complete)
	for time.Now().Before(end) && h.scheduler.Unfinished() > 0 {
		time.Sleep(drainEvery)
	}
	h.log.Info("stopped", "busy", h.scheduler.Unfinished())
}

// drainEvery is how often the drain looks whether work is left.
const drainEvery = 10 * time.Millisecond
