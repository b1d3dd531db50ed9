// Package loop runs periodic and background work of plug-ins between start and stop.
package loop

import (
	"context"
	"time"

	"go.uber.org/fx"
)

// Append runs f in a goroutine when the application starts and cancels its context
// when the application stops. The stop does not wait for f to return.
func Append(lc fx.Lifecycle, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go f(ctx) }, func() { cancel() }))
}

// Every calls f immediately and then once per period, until ctx ends.
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
