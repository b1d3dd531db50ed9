package dispatch

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/core/health"
	"rosemarywalk/core/job"
	"rosemarywalk/core/place"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/executor"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/settings"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/kernel"
)

const (
	section = "dispatch"
	// tickInterval is how often timeouts, ejections and retention are checked.
	tickInterval = 100 * time.Millisecond
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 30,
		Settings: settings.Section{
			Name: section,
			Help: "Queueing and placement of jobs.",
			Keys: keys(),
		},
		Module: fx.Options(
			fx.Provide(newDispatcher),
			fx.Invoke(run),
		),
	})
}

func keys() []settings.Key {
	return []settings.Key{
		{
			Name:    "policy",
			Default: "window",
			Help:    "How a backend server is chosen.",
			Kind:    settings.Choice{Of: []string{"random", "least", "window"}},
		},
		{
			Name:    "window",
			Default: "2",
			Help:    "Maximum number of outstanding tasks of a host, as a multiple of its fair share of all slots (policy window).",
			Kind: settings.Number{
				Min: 0.1,
				Max: 100,
			},
		},
		{
			Name:    "ageing",
			Default: "10ms",
			Help:    "Queueing penalty of a job for each of its tasks; 0s is first come, first served.",
			Kind: settings.Duration{
				Min: 0,
				Max: time.Hour,
			},
		},
		{
			Name:    "waiting",
			Default: "20000",
			Help:    "Maximum number of queued tasks per service.",
			Kind: settings.Integer{
				Min: 1,
				Max: 10000000,
			},
		},
		{
			Name:    "bytes",
			Default: "268435456",
			Help:    "Maximum size of the task bodies in memory, in bytes.",
			Kind: settings.Integer{
				Min: 1 << 16,
				Max: 1 << 40,
			},
		},
		{
			Name:    "retries",
			Default: "0.1",
			Help:    "Retry budget, as a share of first attempts.",
			Kind: settings.Number{
				Min: 0,
				Max: 10,
			},
		},
		{
			Name:    "saved",
			Default: "100",
			Help:    "Maximum number of unused retries that the budget accumulates.",
			Kind: settings.Number{
				Min: 0,
				Max: 100000,
			},
		},
		{
			Name:    "failures",
			Default: "3",
			Help:    "Consecutive failures after which a backend server is ejected.",
			Kind: settings.Integer{
				Min: 1,
				Max: 1000,
			},
		},
		{
			Name:    "backoff",
			Default: "2s",
			Help:    "Duration of the first ejection of a backend server; doubles with each further one.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: time.Hour,
			},
		},
		{
			Name:    "longest",
			Default: "60s",
			Help:    "Maximum duration of an ejection.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: 24 * time.Hour,
			},
		},
		{
			Name:    "retention",
			Default: "10m",
			Help:    "Retention of answers for resubmissions.",
			Kind: settings.Duration{
				Min: time.Second,
				Max: 24 * time.Hour,
			},
		},
		{
			Name:    "held",
			Default: "16777216",
			Help:    "Maximum size of the answers kept for resubmissions, in bytes.",
			Kind: settings.Integer{
				Min: 0,
				Max: 1 << 40,
			},
		},
		{
			Name:    "shards",
			Default: "16",
			Help:    "Number of shards of the jobs, each with its own lock.",
			Kind: settings.Integer{
				Min: 1,
				Max: 1024,
			},
		},
	}
}

func newConfig(s settings.Settings, inc ticket.Incarnation) Config {
	return Config{
		Shards: s.Integer(section, "shards"),
		Bytes:  s.Integer(section, "bytes"),
		Retention: job.Retention{
			Age:   s.Duration(section, "retention"),
			Bytes: s.Integer(section, "held"),
		},
		Policy: newPolicy(s),
		Limits: place.Limits{
			MaxWaiting: s.Integer(section, "waiting"),
			RetryRatio: s.Number(section, "retries"),
			RetryMost:  s.Number(section, "saved"),
			PerTask:    s.Duration(section, "ageing"),
			Health: health.Limits{
				Failures: s.Integer(section, "failures"),
				Backoff:  s.Duration(section, "backoff"),
				Most:     s.Duration(section, "longest"),
			},
		},
		Seed: binary.BigEndian.Uint64(inc[:]),
	}
}

func newPolicy(s settings.Settings) place.Policy {
	switch s.Text(section, "policy") {
	case "random":
		return place.Random{}
	case "least":
		return place.Least{}
	}
	return place.Window{
		Factor: s.Number(section, "window"),
		Least:  1,
	}
}

func newDispatcher(s settings.Settings, inc ticket.Incarnation, issuer *ticket.Issuer, client *executor.Client, counters *telemetry.Counters, log logr.Logger) *Dispatcher {
	return New(newConfig(s, inc), issuer, client, counters, log)
}

func run(lc fx.Lifecycle, d *Dispatcher) {
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, tickInterval, func(context.Context) { d.Tick() })
	})
}
