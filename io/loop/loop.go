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

// Every calls f immediately and then at each multiple of a period, until ctx ends.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	for ctx.Err() == nil {
		f(ctx)
		timer.Reset(Next(period))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

var started = time.Now()

// Next returns the time until the next multiple of a period since the process started. Periodic
// work of several parts that starts then wakes the process once, not once for each part.
func Next(period time.Duration) time.Duration { return period - time.Since(started)%period }
