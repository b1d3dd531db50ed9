package config

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/platform"
	"rosemarywalk/kernel"
)

// tickEvery is how late a booked change may come into force.
const tickEvery = 100 * time.Millisecond

func init() {
	kernel.Register(kernel.Plugin{
		Name:  "config",
		Order: 45,
		Module: fx.Options(
			fx.Provide(
				func(d *dispatch.Dispatcher, log logr.Logger) *Store { return New(d, log) },
				func(c *platform.Client, s *Store) *Booker { return NewBooker(c, s) },
			),
			fx.Invoke(run),
		),
	})
}

func run(lc fx.Lifecycle, s *Store) {
	loop.Append(lc, func(ctx context.Context) {
		loop.Every(ctx, tickEvery, func(context.Context) { s.tick() })
	})
}

// MergeFeed takes what the table's feed returned.
func (s *Store) MergeFeed(feed platform.Feed) { s.learn(feed.Revision, feed.Rows) }
