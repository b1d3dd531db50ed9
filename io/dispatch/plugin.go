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
	// tickEvery is how often ejections and retention are looked at.
	tickEvery = 100 * time.Millisecond
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 30,
		Settings: settings.Section{
			Name: section,
			Help: "How jobs are queued and placed.",
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
			Help:    "Tasks a host may have out at once, in fair shares of all slots (window).",
			Kind: settings.Number{
				Min: 0.1,
				Max: 100,
			},
		},
		{
			Name:    "ageing",
			Default: "10ms",
			Help:    "How much later a job is ranked for each of its tasks; 0s is first come, first served.",
			Kind: settings.Duration{
				Min: 0,
				Max: time.Hour,
			},
		},
		{
			Name:    "waiting",
			Default: "20000",
			Help:    "Tasks that may wait for one service.",
			Kind: settings.Integer{
				Min: 1,
				Max: 10000000,
			},
		},
		{
			Name:    "bytes",
			Default: "268435456",
			Help:    "Bytes of task bodies that this host holds at once.",
			Kind: settings.Integer{
				Min: 1 << 16,
				Max: 1 << 40,
			},
		},
		{
			Name:    "retries",
			Default: "0.1",
			Help:    "Retries allowed, as a share of first tries.",
			Kind: settings.Number{
				Min: 0,
				Max: 10,
			},
		},
		{
			Name:    "saved",
			Default: "100",
			Help:    "Retries that may be saved up.",
			Kind: settings.Number{
				Min: 0,
				Max: 100000,
			},
		},
		{
			Name:    "failures",
			Default: "3",
			Help:    "Failures in a row after which a backend server is ejected.",
			Kind: settings.Integer{
				Min: 1,
				Max: 1000,
			},
		},
		{
			Name:    "backoff",
			Default: "2s",
			Help:    "First time that a backend server stays ejected; each further one doubles it.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: time.Hour,
			},
		},
		{
			Name:    "longest",
			Default: "60s",
			Help:    "Longest time that a backend server stays ejected.",
			Kind: settings.Duration{
				Min: time.Millisecond,
				Max: 24 * time.Hour,
			},
		},
		{
			Name:    "retention",
			Default: "10m",
			Help:    "How long an answer is held for a resubmission.",
			Kind: settings.Duration{
				Min: time.Second,
				Max: 24 * time.Hour,
			},
		},
		{
			Name:    "held",
			Default: "16777216",
			Help:    "Bytes of answers held for resubmissions.",
			Kind: settings.Integer{
				Min: 0,
				Max: 1 << 40,
			},
		},
		{
			Name:    "shards",
			Default: "16",
			Help:    "Parts that the jobs are kept in, each under its own lock.",
			Kind: settings.Integer{
				Min: 1,
				Max: 1024,
			},
		},
	}
}

func configOf(s settings.Settings, inc ticket.Incarnation) Config {
	return Config{
		Shards: s.Integer(section, "shards"),
		Bytes:  s.Integer(section, "bytes"),
		Retention: job.Retention{
			Age:   s.Duration(section, "retention"),
			Bytes: s.Integer(section, "held"),
		},
		Policy: policyOf(s),
		Limits: place.Limits{
			MaxWaiting: s.Integer(section, "waiting"),
			RetryRatio: s.Number(section, "retries"),
			RetryMost:  s.Number(section, "saved"),
			PerTask:    s.Duration(section, "ageing"),
			Health: health.Limits{
				FailureThreshold: s.Integer(section, "failures"),
				Backoff:          s.Duration(section, "backoff"),
				MaxBackoff:       s.Duration(section, "longest"),
			},
		},
		Seed: binary.BigEndian.Uint64(inc[:]),
	}
}

func policyOf(s settings.Settings) place.Policy {
	switch s.Text(section, "policy") {
	case "random":
		return place.Random{}
	case "least":
		return place.LeastOutstanding{}
	}
	return place.Window{
		Factor:         s.Number(section, "window"),
		MinOutstanding: 1,
	}
}

func newDispatcher(s settings.Settings, inc ticket.Incarnation, issuer *ticket.Issuer, client *executor.Client, counters *telemetry.Counters, log logr.Logger) *Dispatcher {
	return New(configOf(s, inc), issuer, client, counters, log)
}

func run(lc fx.Lifecycle, d *Dispatcher) {
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, tickEvery, func(context.Context) { d.Tick() })
	})
}
