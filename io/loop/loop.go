// Package loop runs what plug-ins do again and again between their start and
// their stop.
package loop

import (
	"context"
	"time"

	"go.uber.org/fx"
)

// Append makes the life cycle run f from the start on; its context ends at the stop.
func Append(lc fx.Lifecycle, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go f(ctx) }, func() { cancel() }))
}

// Every calls f at once and then each period, until ctx ends.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
