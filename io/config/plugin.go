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

// activationInterval bounds how late a booked change is activated.
const activationInterval = 100 * time.Millisecond

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
		loop.Every(ctx, activationInterval, func(context.Context) { s.tick() })
	})
}

// MergeFeed merges the rows that the table's feed returned.
func (s *Store) MergeFeed(feed platform.Feed) { s.merge(feed.Revision, feed.Rows) }
