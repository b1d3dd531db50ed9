package intake

import "time"

// Budget limits the bytes that the requests of all clients hold. When they are short, the
// holder gives way that has occupied the budget the most, in bytes times seconds, and first
// one of the client that holds the most. So small requests and those that arrive quickly go
// before large ones that are slow or stand still, however close to their end these are.
type Budget[K comparable] struct {
	limit   int64 // 0 sets no limit
	held    int64
	origin  time.Time // of the first request
	holders map[K]*holder[K]
	all     []*holder[K] // the same in any order, as a search of the map is slow
	clients map[string]*client
}

// client is what the requests of one address hold.
type client struct {
	held    int64
	holders int
}

// holder is a connection with a request.
type holder[K comparable] struct {
	key      K
	index    int // in all
	client   *client
	address  string
	held     int64
	occupied float64 // bytes times seconds until since
	since    float64 // of the last change of held, in seconds from the budget's origin
	pinned   bool    // the request is complete, and is no longer given up
}

// NewBudget returns a Budget of so many bytes; 0 sets no limit.
func NewBudget[K comparable](limit int64) *Budget[K] {
	return &Budget[K]{
		limit:   limit,
		holders: map[K]*holder[K]{},
		clients: map[string]*client{},
	}
}

// Held returns the number of bytes held.
func (b *Budget[K]) Held() int64 { return b.held }

// Take gives n bytes to a holder of a client's address, and reports whether it got them. The
// evicted holders have lost theirs for it. A holder that is alone always gets them.
func (b *Budget[K]) Take(key K, address string, n int64, now time.Time) (evicted []K, ok bool) {
	if b.origin.IsZero() {
		b.origin = now
	}
	h := b.holder(key, address)
	for b.limit > 0 && b.held+n > b.limit && b.held > h.held {
		victim, found := b.costliest(now)
		if !found || victim == key {
			return evicted, false
		}
		b.Drop(victim)
		evicted = append(evicted, victim)
	}
	b.add(h, n, now)
	return evicted, true
}

// Give returns n bytes of a holder.
func (b *Budget[K]) Give(key K, n int64, now time.Time) {
	if h, ok := b.holders[key]; ok {
		b.add(h, -min(n, h.held), now)
	}
}

// Pin protects a holder from eviction, or ends that.
func (b *Budget[K]) Pin(key K, pinned bool) {
	if h, ok := b.holders[key]; ok {
		h.pinned = pinned
	}
}

// Drop returns all bytes of a holder and forgets it.
func (b *Budget[K]) Drop(key K) {
	h, ok := b.holders[key]
	if !ok {
		return
	}
	b.held -= h.held
	h.client.held -= h.held
	if h.client.holders--; h.client.holders == 0 {
		delete(b.clients, h.address)
	}
	delete(b.holders, key)
	last := len(b.all) - 1
	b.all[h.index] = b.all[last]
	b.all[h.index].index = h.index
	b.all[last] = nil
	b.all = b.all[:last]
}

func (b *Budget[K]) holder(key K, address string) *holder[K] {
	if h, ok := b.holders[key]; ok {
		return h
	}
	c, ok := b.clients[address]
	if !ok {
		c = &client{}
		b.clients[address] = c
	}
	c.holders++
	h := &holder[K]{
		key:     key,
		index:   len(b.all),
		client:  c,
		address: address,
	}
	b.holders[key] = h
	b.all = append(b.all, h)
	return h
}

func (b *Budget[K]) add(h *holder[K], n int64, now time.Time) {
	seconds := now.Sub(b.origin).Seconds()
	h.occupied, h.since = h.cost(seconds), seconds
	h.held += n
	h.client.held += n
	b.held += n
}

// cost returns the bytes times seconds that a holder has occupied.
func (h *holder[K]) cost(seconds float64) float64 {
	return h.occupied + float64(h.held)*(seconds-h.since)
}

// costliest returns the holder that gives way first.
func (b *Budget[K]) costliest(now time.Time) (victim K, found bool) {
	var most int64
	var cost float64
	seconds := now.Sub(b.origin).Seconds()
	for _, h := range b.all {
		if h.pinned || h.held == 0 {
			continue
		}
		c := h.cost(seconds)
		if !found || h.client.held > most || h.client.held == most && c > cost {
			victim, most, cost, found = h.key, h.client.held, c, true
		}
	}
	return victim, found
}
