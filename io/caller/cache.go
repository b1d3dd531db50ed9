package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// cacheBatch is how many tickets are fetched from a home at once.
	cacheBatch = 256
	// cacheLow is when the next batch is fetched, ahead of need.
	cacheLow = 128
	// avoidFor is how long a home that couldn't be reached isn't asked again.
	avoidFor = 5 * time.Second
	// fetchTimeout bounds a fetch; then this host issues tickets of its own.
	fetchTimeout = 500 * time.Millisecond
)

// fetch gets n tickets from the host at a peer address.
type fetch func(ctx context.Context, address, service string, n int) ([]string, error)

// batch is the tickets held for one service.
type batch struct {
	address string // the home that issued the tickets
	tickets []string
	filling bool
}

// cache holds tickets that homes issued, so that a caller's request for
// tickets costs no message between hosts.
type cache struct {
	fetch fetch

	mu        sync.Mutex
	byService map[string]*batch
	avoided   map[string]time.Time // until when, by peer address
}

func newCache(f fetch) *cache {
	return &cache{
		fetch:     f,
		byService: map[string]*batch{},
		avoided:   map[string]time.Time{},
	}
}

// avoid notes that a host couldn't be reached: its tickets would only leave
// callers without an outcome, even while its heartbeats still arrive.
func (c *cache) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = time.Now().Add(avoidFor)
	for service, b := range c.byService {
		if b.address == address {
			delete(c.byService, service)
		}
	}
}

func (c *cache) isAvoided(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoided[address])
}

// take returns n tickets of a service's home, or false when the home can't be
// asked now.
func (c *cache) take(ctx context.Context, address, service string, n int) ([]string, bool) {
	if c.isAvoided(address) {
		return nil, false
	}
	if taken, ok := c.pick(address, service, n); ok {
		return taken, true
	}
	tickets, err := c.fill(ctx, address, service, n+cacheBatch)
	if err != nil {
		// A caller that left says nothing about the home.
		if ctx.Err() == nil {
			c.avoid(address)
		}
		return nil, false
	}
	return tickets[:n], c.add(address, service, tickets[n:])
}

// pick takes tickets from the cache and has it filled when it runs low.
func (c *cache) pick(address, service string, n int) ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batch(address, service)
	if len(b.tickets) < n {
		return nil, false
	}
	taken := b.tickets[:n:n]
	b.tickets = b.tickets[n:]
	if len(b.tickets) < cacheLow && !b.filling {
		b.filling = true
		go c.refill(address, service)
	}
	return taken, true
}

// batch runs under the lock; tickets of an earlier home are dropped.
func (c *cache) batch(address, service string) *batch {
	b := c.byService[service]
	if b == nil || b.address != address {
		b = &batch{address: address}
		c.byService[service] = b
	}
	return b
}

func (c *cache) fill(ctx context.Context, address, service string, n int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return c.fetch(ctx, address, service, n)
}

func (c *cache) add(address, service string, tickets []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batch(address, service)
	b.tickets = append(b.tickets, tickets...)
	return true
}

func (c *cache) refill(address, service string) {
	tickets, err := c.fill(context.Background(), address, service, cacheBatch)
	if err == nil {
		c.add(address, service, tickets)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch(address, service).filling = false
}
