package redial

import (
	"context"
	"net"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"rosemarywalk/io/late"
)

// Limits are the limits on new connections.
type Limits struct {
	Burst     int     // connections opened at once
	PerSecond float64 // connections a second after that
}

// ForPool returns the limits of a client with a pool of n connections: all of them can be
// replaced twice at once, and then once a second.
func ForPool(n int) Limits {
	return Limits{
		Burst:     2 * n,
		PerSecond: float64(n),
	}
}

// Dial returns a function that opens connections as dial does, delayed to keep the limits, and
// calls opened for each. Its errors are those of dial, and that of a context that ends first.
func (l Limits) Dial(dial late.Dial, opened func()) late.Dial {
	limiter := rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := limiter.Wait(ctx); err != nil {
			return nil, errors.Annotate(err, "wait to open a connection")
		}
		conn, err := dial(ctx, network, address)
		if err == nil {
			opened()
		}
		return conn, err
	}
}
