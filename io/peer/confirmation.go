package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/io/clock"
)

// ErrWithdrawn is the cause with which the context of a served call is canceled when the
// other host doesn't wait for the answer any more.
const ErrWithdrawn = errors.ConstError("the caller does not wait any more")

// Confirmation returns when a caller was last known to wait, zero if that is unknown, and
// false if the caller is known to be gone. The time is of package clock. It may be called
// concurrently.
type Confirmation func() (at time.Time, waiting bool)

type confirmationKey struct{}

// WithConfirmation returns a context for calls on behalf of a caller.
func WithConfirmation(ctx context.Context, c Confirmation) context.Context {
	return context.WithValue(ctx, confirmationKey{}, c)
}

// Confirm returns when the caller on whose behalf ctx exists was last known to wait, zero
// if that is unknown, and false if the caller is known to be gone. A context without a
// confirmation stands for a caller that waits until the context ends.
func Confirm(ctx context.Context) (at time.Time, waiting bool) {
	if c, ok := ctx.Value(confirmationKey{}).(Confirmation); ok {
		if at, waiting = c(); !waiting {
			return time.Time{}, false
		}
		return at, true
	}
	now := clock.Now()
	if ctx.Err() != nil {
		return time.Time{}, false
	}
	return now, true
}

type sentKey struct{}

// withSent returns a context for a served call that was sent at a time or later, as far as is
// known when it is asked.
func withSent(ctx context.Context, at func() time.Time) context.Context {
	return context.WithValue(ctx, sentKey{}, at)
}

// Sent returns a time on this host's clock at or after which the call that ctx belongs to
// was sent. It returns the present if the other host doesn't date its calls.
func Sent(ctx context.Context) time.Time {
	if at, ok := ctx.Value(sentKey{}).(func() time.Time); ok {
		return at()
	}
	return clock.Now()
}
