package caller

import (
	"context"
	"sync"
	"time"
)

const (
	// stockBatch is how many tickets are fetched from a home at once.
	stockBatch = 256
	// stockLow is when the next batch is fetched, ahead of need.
	stockLow = 128
	// avoidFor is how long a home that couldn't be reached isn't asked again.
	avoidFor = 5 * time.Second
	// stockTimeout bounds a fetch; then this host issues tickets of its own.
	stockTimeout = 500 * time.Millisecond
)

// fetch gets n tickets from the host at a peer address.
type fetch func(ctx context.Context, address, service string, n int) ([]string, error)

// shelf is the stock of one service.
type shelf struct {
	address string // the home that issued the tickets
	tickets []string
	filling bool
}

// stock holds tickets that homes issued, so that a caller's request for
// tickets costs no message between hosts.
type stock struct {
	fetch fetch

	mu      sync.Mutex
	shelves map[string]*shelf    // by service
	avoided map[string]time.Time // until when, by peer address
}

func newStock(f fetch) *stock {
	return &stock{
		fetch:   f,
		shelves: map[string]*shelf{},
		avoided: map[string]time.Time{},
	}
}

// avoid notes that a host couldn't be reached: its tickets would only leave
// callers without an outcome, even while its heartbeats still arrive.
func (s *stock) avoid(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[address] = time.Now().Add(avoidFor)
	for service, sh := range s.shelves {
		if sh.address == address {
			delete(s.shelves, service)
		}
	}
}

func (s *stock) isAvoided(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoided[address])
}

// take returns n tickets of a service's home, or false when the home can't be
// asked now.
func (s *stock) take(ctx context.Context, address, service string, n int) ([]string, bool) {
	if s.isAvoided(address) {
		return nil, false
	}
	if taken, ok := s.pick(address, service, n); ok {
		return taken, true
	}
	tickets, err := s.fill(ctx, address, service, n+stockBatch)
	if err != nil {
		s.avoid(address)
		return nil, false
	}
	return tickets[:n], s.add(address, service, tickets[n:])
}

// pick takes tickets from the shelf and has it filled when it runs low.
func (s *stock) pick(address, service string, n int) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.shelf(address, service)
	if len(sh.tickets) < n {
		return nil, false
	}
	taken := sh.tickets[:n:n]
	sh.tickets = sh.tickets[n:]
	if len(sh.tickets) < stockLow && !sh.filling {
		sh.filling = true
		go s.refill(address, service)
	}
	return taken, true
}

// shelf runs under the lock; tickets of an earlier home are dropped.
func (s *stock) shelf(address, service string) *shelf {
	sh := s.shelves[service]
	if sh == nil || sh.address != address {
		sh = &shelf{address: address}
		s.shelves[service] = sh
	}
	return sh
}

func (s *stock) fill(ctx context.Context, address, service string, n int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, stockTimeout)
	defer cancel()
	return s.fetch(ctx, address, service, n)
}

func (s *stock) add(address, service string, tickets []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.shelf(address, service)
	sh.tickets = append(sh.tickets, tickets...)
	return true
}

func (s *stock) refill(address, service string) {
	tickets, err := s.fill(context.Background(), address, service, stockBatch)
	if err == nil {
		s.add(address, service, tickets)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shelf(address, service).filling = false
}
