package late

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// A timer that fires later than maxTimerDelay shows that this process got no processor time.
// The timeout is extended for that at most maxExtensions times.
const (
	maxTimerDelay = 5 * time.Millisecond
	maxExtensions = 3
)

// ErrLate is the cause with which a context ends that has been extended as often as it may, and
// whose host was late until the end: an answer may have arrived that nobody has read.
const ErrLate = errors.ConstError("this host is late")

// timeout ends a context when something is overdue. While this process gets no processor time,
// it may have arrived without being read, so the timeout is extended by the delay of its timer
// or of other work of this host since it was set, at most by the limit.
type timeout struct {
	limit      time.Duration // of each extension
	now        func() time.Time
	delaySince func(since time.Time) time.Duration // the longest delay of other work
	cancel     context.CancelCauseFunc

	mu         sync.Mutex
	timer      *time.Timer
	set, due   time.Time
	extensions int
}

// WithTimeout returns a context that ends when an answer is overdue, and a function that
// releases its resources. An answer takes up to the limit, after a wait that was asked for. The
// limit is extended by this host's own delay.
func (m *Meter) WithTimeout(ctx context.Context, wait, limit time.Duration) (context.Context, context.CancelFunc) {
	return withTimeout(ctx, wait, limit, time.Now, m.Since)
}

func withTimeout(ctx context.Context, wait, limit time.Duration, now func() time.Time, delaySince func(time.Time) time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &timeout{
		limit:      limit,
		now:        now,
		delaySince: delaySince,
		cancel:     cancel,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = now().Add(limit + wait)
	t.set = t.due.Add(-limit)
	t.timer = time.AfterFunc(limit+wait, t.expire)
	return ctx, t.stop
}

func (t *timeout) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	delay := max(now.Sub(t.due), t.delaySince(t.set))
	switch {
	case delay <= maxTimerDelay:
		t.cancel(context.DeadlineExceeded)
	case t.extensions >= maxExtensions:
		t.cancel(ErrLate)
	default:
		t.extensions++
		extension := min(delay, t.limit)
		t.set, t.due = now, now.Add(extension)
		t.timer.Reset(extension)
	}
}

func (t *timeout) stop() {
	t.cancel(context.Canceled)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extensions = maxExtensions
	t.timer.Stop()
}

// Dial opens a connection, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WithDialTimeout returns a function that opens connections within a limit, which is extended by
// this host's own delay.
func (m *Meter) WithDialTimeout(dial Dial, limit time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := m.WithTimeout(ctx, 0, limit)
		defer cancel()
		return dial(ctx, network, address)
	}
}
