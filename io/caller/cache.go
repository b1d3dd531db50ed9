package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// ticketBatchSize is the number of tickets that a fetch from a home adds to the cache.
	ticketBatchSize = 256
	// refillThreshold is the number of cached tickets below which more are fetched in advance.
	refillThreshold = 128
	// unreachableBackoff is how long no tickets are fetched from a home that was unreachable.
	unreachableBackoff = 5 * time.Second
	// fetchTimeout bounds a fetch, after which this host issues its own tickets.
	fetchTimeout = 500 * time.Millisecond
)

// fetchFunc requests n tickets from the host at a peer address.
type fetchFunc func(ctx context.Context, address, service string, n int) ([]string, error)

// batch holds the cached tickets of one service.
type batch struct {
	address   string // the home that issued the tickets
	tickets   []string
	refilling bool
}

// ticketCache caches tickets issued by homes, so that most requests for tickets need no
// message between hosts.
type ticketCache struct {
	fetch fetchFunc

	mu           sync.Mutex
	byService    map[string]*batch
	backoffUntil map[string]time.Time // end of the time without fetches, by peer address
}

func newTicketCache(f fetchFunc) *ticketCache {
	return &ticketCache{
		fetch:        f,
		byService:    map[string]*batch{},
		backoffUntil: map[string]time.Time{},
	}
}

// markUnreachable drops a host's tickets and stops fetching more for unreachableBackoff. Jobs with
// tickets of a host that can't be reached get no outcome, even if its heartbeats still
// arrive.
func (c *ticketCache) markUnreachable(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[address] = time.Now().Add(unreachableBackoff)
	for service, b := range c.byService {
		if b.address == address {
			delete(c.byService, service)
		}
	}
}

func (c *ticketCache) inBackoff(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil[address])
}

// take returns n tickets issued by a service's home, or false if the home is unavailable.
func (c *ticketCache) take(ctx context.Context, address, service string, n int) ([]string, bool) {
	if c.inBackoff(address) {
		return nil, false
	}
	if taken, ok := c.takeCached(address, service, n); ok {
		return taken, true
	}
	tickets, err := c.fetchWithTimeout(ctx, address, service, n+ticketBatchSize)
	if err != nil {
		// If the caller canceled the request, the error says nothing about the home.
		if ctx.Err() == nil {
			c.markUnreachable(address)
		}
		return nil, false
	}
	return tickets[:n], c.add(address, service, tickets[n:])
}

// takeCached takes tickets from the cache, and starts a refill if few are left.
func (c *ticketCache) takeCached(address, service string, n int) ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batch(address, service)
	if len(b.tickets) < n {
		return nil, false
	}
	taken := b.tickets[:n:n]
	b.tickets = b.tickets[n:]
	if len(b.tickets) < refillThreshold && !b.refilling {
		b.refilling = true
		go c.refill(address, service)
	}
	return taken, true
}

// batch returns the batch of a service, and drops tickets of a previous home. The lock
// must be held.
func (c *ticketCache) batch(address, service string) *batch {
	b := c.byService[service]
	if b == nil || b.address != address {
		b = &batch{address: address}
		c.byService[service] = b
	}
	return b
}

func (c *ticketCache) fetchWithTimeout(ctx context.Context, address, service string, n int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return c.fetch(ctx, address, service, n)
}

func (c *ticketCache) add(address, service string, tickets []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batch(address, service)
	b.tickets = append(b.tickets, tickets...)
	return true
}

func (c *ticketCache) refill(address, service string) {
	tickets, err := c.fetchWithTimeout(context.Background(), address, service, ticketBatchSize)
	if err == nil {
		c.add(address, service, tickets)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch(address, service).refilling = false
}
