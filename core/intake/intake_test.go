package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// hold is the bytes of one connection.
type hold struct {
	key     int
	address string
	bytes   int64
	since   time.Duration
	pinned  bool
}

func of(key int, address string, bytes int64, since time.Duration) hold {
	return hold{
		key:     key,
		address: address,
		bytes:   bytes,
		since:   since,
	}
}

func complete(h hold) hold {
	h.pinned = true
	return h
}

// TestTake checks who gives way when the bytes are short.
func TestTake(t *testing.T) {
	const limit = 100
	tests := []struct {
		name    string
		held    []hold
		take    hold
		evicted []int
		denied  bool
	}{
		{
			name: "room for all",
			held: []hold{of(1, "", 60, 0)},
			take: of(2, "", 40, 0),
		},
		{
			name:    "the older of two alike",
			held:    []hold{of(1, "", 50, 1), of(2, "", 50, 0)},
			take:    of(3, "", 10, 0),
			evicted: []int{2},
		},
		{
			name:    "a large one, not a small one that is older",
			held:    []hold{of(1, "", 2, 0), of(2, "", 98, 500*time.Millisecond)},
			take:    of(3, "", 10, 0),
			evicted: []int{2},
		},
		{
			name:    "as many as needed",
			held:    []hold{of(1, "", 50, 0), of(2, "", 50, 1)},
			take:    of(3, "", 60, 0),
			evicted: []int{1, 2},
		},
		{
			name:   "the one that takes, if it has occupied the most",
			held:   []hold{of(1, "", 60, 0), of(2, "", 30, 1)},
			take:   of(1, "", 20, 0),
			denied: true,
		},
		{
			name:    "the client that holds the most, though another's is older",
			held:    []hold{of(1, "a", 40, 0), of(2, "b", 30, 1), of(3, "b", 30, 2)},
			take:    of(4, "a", 10, 0),
			evicted: []int{2},
		},
		{
			name:    "none that is complete",
			held:    []hold{complete(of(1, "", 60, 0)), of(2, "", 40, 1)},
			take:    of(3, "", 10, 0),
			evicted: []int{2},
		},
		{
			name:   "nobody, if all are complete",
			held:   []hold{complete(of(1, "", 60, 0)), complete(of(2, "", 40, 0))},
			take:   of(3, "", 10, 0),
			denied: true,
		},
		{
			name: "one alone may pass the limit",
			held: []hold{of(1, "", 90, 0)},
			take: of(1, "", 20, 0),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget[int](limit)
			for _, h := range test.held {
				_, ok := b.Take(h.key, h.address, h.bytes, at(h.since))
				assert.Assert(t, ok)
				b.Pin(h.key, h.pinned)
			}
			evicted, ok := b.Take(test.take.key, test.take.address, test.take.bytes, at(time.Second))
			assert.Equal(t, ok, !test.denied)
			assert.DeepEqual(t, evicted, test.evicted)
		})
	}
}

// TestCrowd replays a crowd of one address that fills the budget with bodies that stop one byte
// short, beside callers who send a small request each. No caller gives way, also if they come
// from the crowd's address.
func TestCrowd(t *testing.T) {
	const limit, body, small, crowd = 10_000_000, 262_144, 500, 800
	for _, address := range []string{"crowd", "caller"} {
		b := NewBudget[int](limit)
		now := time.Duration(0)
		take := func(key int, address string, n int64) {
			evicted, ok := b.Take(key, address, n, at(now))
			assert.Assert(t, ok || key < crowd, "caller %d got no memory", key)
			for _, victim := range evicted {
				assert.Assert(t, victim < crowd, "caller %d gave way", victim)
			}
			assert.Assert(t, b.Held() <= limit)
			now += 100 * time.Microsecond
		}
		for key := range crowd {
			take(key, "crowd", body-1)
			caller := crowd + key
			take(caller, address, small)
			if key%3 == 0 {
				b.Drop(caller)
			}
		}
	}
}

// TestBalance checks that all bytes are free once all holders are gone.
func TestBalance(t *testing.T) {
	b := NewBudget[int](1000)
	for key := range 100 {
		b.Take(key, string(rune('a'+key%3)), int64(key), at(time.Duration(key)))
		b.Give(key, int64(key)*2/3, at(time.Duration(key+1)))
	}
	for key := range 100 {
		b.Drop(key)
		b.Drop(key)
		b.Give(key, 1, start)
	}
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, len(b.holders)+len(b.clients), 0)
}

// TestDispensable checks which connection is closed for a new one.
func TestDispensable(t *testing.T) {
	type conn struct {
		address string
		phase   Phase
		since   time.Duration
	}
	in := func(address string, phase Phase, since time.Duration) conn {
		return conn{
			address: address,
			phase:   phase,
			since:   since,
		}
	}
	tests := []struct {
		name   string
		conns  []conn
		closed int // -1 for none
	}{
		{
			name:   "the one that has waited longest",
			conns:  []conn{in("", Waiting, 2), in("", Waiting, 1), in("", Waiting, 3)},
			closed: 1,
		},
		{
			name:   "one that waits before one that is read",
			conns:  []conn{in("", Reading, 0), in("", Waiting, 3)},
			closed: 1,
		},
		{
			name:   "the client with the most",
			conns:  []conn{in("a", Waiting, 0), in("b", Waiting, 1), in("b", Reading, 2)},
			closed: 1,
		},
		{
			name:   "none that is served",
			conns:  []conn{in("", Serving, 0), in("", Reading, 9)},
			closed: 1,
		},
		{
			name:   "all are served",
			conns:  []conn{in("", Serving, 0), in("", Serving, 1)},
			closed: -1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSlots[int](len(test.conns))
			for key, c := range test.conns {
				assert.Assert(t, !s.Full())
				s.Add(key, c.address, start)
				s.Set(key, Serving, start)
				s.Set(key, c.phase, at(c.since))
			}
			assert.Assert(t, s.Full())
			victim, found := s.Dispensable()
			assert.Equal(t, found, test.closed >= 0)
			if found {
				assert.Equal(t, victim, test.closed)
				s.Close(victim)
				assert.Assert(t, !s.Full())
			}
		})
	}
}
