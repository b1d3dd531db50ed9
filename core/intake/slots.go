package intake

import "time"

// Phase is what a connection does.
type Phase int

// The phases of a connection.
const (
	Waiting Phase = iota // for the first byte of a request
	Reading              // a request
	Serving              // a complete request, or a link
)

// Slots limits the number of connections of a listener. When there are too many, one of the
// client with the most connections is closed: the one that has waited longest for a request,
// or else the one whose request has been read longest.
type Slots[K comparable] struct {
	limit   int // 0 sets no limit
	conns   map[K]*slot
	clients map[string]int
}

// slot is one connection.
type slot struct {
	address string
	phase   Phase
	since   time.Time // of the phase
}

// NewSlots returns Slots for so many connections; 0 sets no limit.
func NewSlots[K comparable](limit int) *Slots[K] {
	return &Slots[K]{
		limit:   limit,
		conns:   map[K]*slot{},
		clients: map[string]int{},
	}
}

// Len returns the number of connections.
func (s *Slots[K]) Len() int { return len(s.conns) }

// Full reports whether a connection has to be closed before another one is added.
func (s *Slots[K]) Full() bool { return s.limit > 0 && len(s.conns) >= s.limit }

// Add adds a connection of a client's address, which waits for its first request.
func (s *Slots[K]) Add(key K, address string, now time.Time) {
	s.conns[key] = &slot{
		address: address,
		since:   now,
	}
	s.clients[address]++
}

// Set records the phase of a connection.
func (s *Slots[K]) Set(key K, phase Phase, now time.Time) {
	if c, ok := s.conns[key]; ok && c.phase != phase {
		c.phase, c.since = phase, now
	}
}

// Close removes a connection.
func (s *Slots[K]) Close(key K) {
	c, ok := s.conns[key]
	if !ok {
		return
	}
	delete(s.conns, key)
	if s.clients[c.address]--; s.clients[c.address] == 0 {
		delete(s.clients, c.address)
	}
}

// Dispensable returns the connection that is closed first, unless all serve requests.
func (s *Slots[K]) Dispensable() (victim K, found bool) {
	var best slot
	for key, c := range s.conns {
		if c.phase != Serving && (!found || s.before(*c, best)) {
			victim, best, found = key, *c, true
		}
	}
	return victim, found
}

// before reports whether connection a is closed before connection b.
func (s *Slots[K]) before(a, b slot) bool {
	if m, n := s.clients[a.address], s.clients[b.address]; m != n {
		return m > n
	}
	if a.phase != b.phase {
		return a.phase == Waiting
	}
	return a.since.Before(b.since)
}
