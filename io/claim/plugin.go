package claim

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/io/loop"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
)

const (
	section = "claim"
	// sweepInterval is the time between a host's sweeps for claims past their retention.
	sweepInterval = 5 * time.Minute
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:  section,
		Order: 42,
		Settings: settings.Section{
			Name: section,
			Help: "Callers' idempotency keys, stored in the platform's table.",
			Keys: []settings.Key{
				{
					Name:    "commits",
					Default: "200",
					Help:    "Commits per second, for all hosts together.",
					Kind: settings.Integer{
						Min: 1,
						Max: 100000,
					},
				},
				{
					Name:    "group",
					Default: "200",
					Help:    "Maximum number of claims in one commit.",
					Kind: settings.Integer{
						Min: 1,
						Max: 10000,
					},
				},
				{
					Name:    "timeout",
					Default: "5s",
					Help:    "Timeout for claiming a key.",
					Kind: settings.Duration{
						Min: 10 * time.Millisecond,
						Max: time.Minute,
					},
				},
				{
					Name:    "retention",
					Default: "48h",
					Help:    "How long a key is remembered; callers must not reuse it afterwards.",
					Kind: settings.Duration{
						Min: time.Second,
						Max: 1000 * time.Hour,
					},
				},
			},
		},
		Module: fx.Options(
			fx.Provide(newClaimer),
			fx.Invoke(run),
		),
	})
}

func newClaimer(s settings.Settings, c *platform.Client) *Claimer {
	commits := s.Integer(section, "commits")
	return New(c, Limits{
		CommitInterval: time.Second * time.Duration(s.Integer("fleet", "hosts")) / time.Duration(commits),
		MaxGroup:       s.Integer(section, "group"),
		Timeout:        s.Duration(section, "timeout"),
		Retention:      s.Duration(section, "retention"),
	})
}

func run(lc fx.Lifecycle, c *Claimer, log logr.Logger) {
	log = log.WithName(section)
	loop.Append(lc, c.Loop)
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, sweepInterval, func(ctx context.Context) {
			if n, err := c.Sweep(ctx); err == nil && n > 0 {
				log.Info("expired claims deleted", "count", n)
			}
		})
	})
}
