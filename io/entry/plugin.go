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

	"rosemarywalk/core/route"
	"rosemarywalk/io/intake"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/scheduler"
	"rosemarywalk/io/server"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/kernel"
)

const section = "entry"

// Values of the setting waits.
const (
	waitsUnknown   = "unknown"
	waitsRemaining = "remaining"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:     section,
		Order:    100,
		Editions: []kernel.Edition{kernel.Platform},
		Settings: settings.Section{
			Name: section,
			Help: "Callers' API of this host, and the planned stop.",
			Keys: []settings.Key{
				{
					Name:     "listen",
					Default:  "127.0.0.1:7000",
					Help:     "Listen address for callers.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:     "ready",
					Default:  "127.0.0.1:7001",
					Help:     "Listen address of the platform's readiness probe.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:     "metrics",
					Default:  "127.0.0.1:7002",
					Help:     "Listen address of /metrics.",
					Required: true,
					Kind:     settings.Address{},
				},
				{
					Name:    "hold",
					Default: "1s",
					Help:    "Maximum time that a host holds a request after its start, until it can place jobs.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Hour,
					},
				},
				{
					Name:    "tasks",
					Default: "1000",
					Help:    "Maximum number of tasks of one job. A job with more of them is refused, as it would hold up its home.",
					Kind: settings.Integer{
						Min: 1,
						Max: 100000,
					},
				},
				{
					Name:    "waits",
					Default: waitsUnknown,
					Help:    "How long callers say that they wait when they submit a job again: what remains of their first wait, or unknown. If it is unknown, any submission may be a repeated one until waits show otherwise.",
					Kind:    settings.Choice{Of: []string{waitsUnknown, waitsRemaining}},
				},
				{
					Name:    "linger",
					Default: "3s",
					Help:    "How long requests are still accepted after a planned stop began, so that the balancer can remove the host.",
					Kind: settings.Duration{
						Min: 0,
						Max: time.Minute,
					},
				},
				{
					Name:    "grace",
					Default: "6s",
					Help:    "Time between the platform's stop signal and its kill of the process.",
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

// params holds the dependencies that fx injects.
type params struct {
	fx.In

	Settings  settings.Settings
	Format    Format
	Watcher   *watch.Watcher
	Roster    *roster.Roster
	Scheduler *scheduler.Scheduler
	Flag      *ready.Flag
	Counters  *telemetry.Counters
	Latency   *telemetry.Latency
	Intake    *intake.Intake
	Stalls    *stall.Detector
	Log       logr.Logger
}

func newHandler(n params) *Handler {
	h := &Handler{
		maxTasks:      n.Settings.Integer(section, "tasks"),
		startGate:     newStartGate(n.Settings.Duration(section, "hold")),
		pauseGate:     newPauseGate(n.Stalls, n.Watcher.RefreshConfig),
		waitEstimator: newWaitEstimator(n.Settings.Text(section, "waits") == waitsRemaining),
		format:        n.Format,
		watcher:       n.Watcher,
		roster:        n.Roster,
		scheduler:     n.Scheduler,
		flag:          n.Flag,
		counters:      n.Counters,
		latency:       n.Latency,
		log:           n.Log.WithName("entry"),
	}
	n.Watcher.SetRouteWaits(h.waitEstimator.estimates)
	n.Watcher.OnHosts(h.waitEstimator.adopt)
	n.Watcher.OnConfig(func(c route.Config) {
		h.waitEstimator.retain(n.Watcher.Config().Routes)
		n.Intake.SetCallers(server.Limits{
			HeadBytes:   c.Limits.MaxHeaderBytes,
			HeadTimeout: c.Limits.HeaderTimeout,
			IdleTimeout: c.Limits.IdleTimeout,
		})
	})
	return h
}

func listen(lc fx.Lifecycle, s settings.Settings, h *Handler, limits *intake.Intake, registry *prometheus.Registry, log logr.Logger) {
	probes := mux.NewRouter()
	probes.HandleFunc(h.format.ReadinessPath(), h.Ready)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	callers := server.New("callers", s.Text(section, "listen"), h.Router(), limits.Callers(), log)
	others := []*server.Server{
		server.New("readiness", s.Text(section, "ready"), probes, limits.Other(), log),
		server.New("metrics", s.Text(section, "metrics"), metrics, limits.Other(), log),
	}
	loop.Append(lc, h.releaseHeld)
	for _, web := range others {
		lc.Append(fx.StartStopHook(web.Start, web.Close))
	}
	lc.Append(fx.StartStopHook(callers.Start, func() {
		h.drain(callers, s.Duration(section, "linger"), s.Duration(section, "grace"))
	}))
}

// stopMargin is the time kept between the end of the drain and the platform's kill.
const stopMargin = 500 * time.Millisecond

// drain performs the planned stop: it stops acting as a home for new jobs, rejects
// new requests after the linger time, and waits until accepted requests are answered
// or the grace period is nearly over.
func (h *Handler) drain(callers *server.Server, linger, grace time.Duration) {
	h.log.Info("stop began", "busy", h.scheduler.Unfinished())
	end := time.Now().Add(grace - stopMargin)
	h.flag.Stop()
	h.roster.Stop()
	time.Sleep(min(linger, grace/2))
	// Requests accepted after this point might not finish before the process is
	// killed.
	h.rejecting.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	complete := callers.Drain(ctx)
	h.log.Info("callers drained", "busy", h.scheduler.Unfinished(), "complete", complete)
	for time.Now().Before(end) && h.scheduler.Unfinished() > 0 {
		time.Sleep(drainPollInterval)
	}
	h.log.Info("stopped", "busy", h.scheduler.Unfinished())
}

// drainPollInterval is the interval at which drain checks for unfinished work.
const drainPollInterval = 10 * time.Millisecond
