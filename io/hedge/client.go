package hedge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core/hedge"
	"rosemarywalk/io/late"
)

// ErrOverdue means that no attempt was answered in time, though each may have been carried out.
const ErrOverdue = errors.ConstError("no answer in time")

// Client calls a server over a pool of connections, and over a new pool once an attempt has failed
// or is overdue.
type Client struct {
	limits  hedge.Limits
	open    func() *http.Transport
	meter   *late.Meter
	settled func(attempts, answered int)

	mu   sync.Mutex
	pool *http.Client
}

// New returns a client that opens pools of connections with open, and after each call passes
// settled the number of its attempts, and that of the answered one, or 0 if none was.
func New(l hedge.Limits, open func() *http.Transport, meter *late.Meter, settled func(attempts, answered int)) *Client {
	return &Client{
		limits:  l,
		open:    open,
		meter:   meter,
		settled: settled,
		pool:    &http.Client{Transport: open()},
	}
}

// CloseIdleConnections closes the connections that no call uses.
func (c *Client) CloseIdleConnections() { c.current().CloseIdleConnections() }

// Renew makes later attempts use new connections.
func (c *Client) Renew() { c.replace(c.current()) }

func (c *Client) current() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// replace makes later attempts use other connections than those of a pool: these were open at the
// same time, so they may have gone silent, too. Calls in flight keep theirs.
func (c *Client) replace(pool *http.Client) {
	c.mu.Lock()
	if c.pool == pool {
		c.pool = &http.Client{Transport: c.open()}
	}
	c.mu.Unlock()
	pool.CloseIdleConnections()
}

// Attempt sends one attempt of a call over a pool of connections to a server that may wait before
// it answers.
type Attempt[T any] func(ctx context.Context, pool *http.Client, wait time.Duration) (T, error)

// result is the outcome of an attempt.
type result[T any] struct {
	number int
	pool   *http.Client
	value  T
	err    error
}

// Do makes a call, and returns its first answer, the error of an attempt if no other one is in
// flight, or ErrOverdue.
func Do[T any](ctx context.Context, c *Client, wait time.Duration, attempt Attempt[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], c.limits.Attempts)
	attempts, inFlight := 0, 0
	var latest *http.Client
	send := func(wait time.Duration) {
		attempts++
		inFlight++
		latest = c.current()
		go func(number int, pool *http.Client) {
			value, err := attempt(ctx, pool, wait)
			results <- result[T]{
				number: number,
				pool:   pool,
				value:  value,
				err:    err,
			}
		}(attempts, latest)
	}
	var none T
	plan := hedge.New(c.limits, wait)
	send(wait)
	due := time.Now().Add(plan.Timeout())
	timer := time.NewTimer(plan.Timeout())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return none, errors.Trace(context.Cause(ctx))
		case r := <-results:
			inFlight--
			if r.err == nil {
				c.settled(attempts, r.number)
				return r.value, nil
			}
			c.replace(r.pool)
			if inFlight == 0 {
				c.settled(attempts, 0)
				return none, r.err
			}
		case <-timer.C:
			var step hedge.Step
			plan, step = plan.WithOverdue(c.ownDelay(due))
			switch step.(type) {
			case hedge.Repeat:
				c.replace(latest)
				send(0) // what the first attempt waits for may have come meanwhile
			case hedge.GiveUp:
				c.replace(latest)
				c.settled(attempts, 0)
				return none, errors.Trace(ErrOverdue)
			}
			due = time.Now().Add(plan.Timeout())
			timer.Reset(plan.Timeout())
		}
	}
}

// ownDelay returns how late this process was since an answer could arrive that was due at a time.
func (c *Client) ownDelay(due time.Time) time.Duration {
	return max(time.Since(due), c.meter.Since(due.Add(-c.limits.Answer)))
}
