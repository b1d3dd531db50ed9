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
			held: []hold{{
				key:   1,
				bytes: 60,
			}},
			take: hold{
				key:   2,
				bytes: 40,
			},
		},
		{
			name: "the older of two alike",
			held: []hold{
				{
					key:   1,
					bytes: 50,
					since: 1,
				},
				{
					key:   2,
					bytes: 50,
				},
			},
			take: hold{
				key:   3,
				bytes: 10,
			},
			evicted: []int{2},
		},
		{
			name: "a large one, not a small one that is older",
			held: []hold{
				{
					key:   1,
					bytes: 2,
				},
				{
					key:   2,
					bytes: 98,
					since: 500 * time.Millisecond,
				},
			},
			take: hold{
				key:   3,
				bytes: 10,
			},
			evicted: []int{2},
		},
		{
			name: "as many as needed",
			held: []hold{
				{
					key:   1,
					bytes: 50,
				},
				{
					key:   2,
					bytes: 50,
					since: 1,
				},
			},
			take: hold{
				key:   3,
				bytes: 60,
			},
			evicted: []int{1, 2},
		},
		{
			name: "the one that takes, if it has occupied the most",
			held: []hold{
				{
					key:   1,
					bytes: 60,
				},
				{
					key:   2,
					bytes: 30,
					since: 1,
				},
			},
			take: hold{
				key:   1,
				bytes: 20,
			},
			denied: true,
		},
		{
			name: "the client that holds the most, though another's is older",
			held: []hold{
				{
					key:     1,
					address: "a",
					bytes:   40,
				},
				{
					key:     2,
					address: "b",
					bytes:   30,
					since:   1,
				},
				{
					key:     3,
					address: "b",
					bytes:   30,
					since:   2,
				},
			},
			take: hold{
				key:     4,
				address: "a",
				bytes:   10,
			},
			evicted: []int{2},
		},
		{
			name: "none that is complete",
			held: []hold{
				{
					key:    1,
					bytes:  60,
					pinned: true,
				},
				{
					key:   2,
					bytes: 40,
					since: 1,
				},
			},
			take: hold{
				key:   3,
				bytes: 10,
			},
			evicted: []int{2},
		},
		{
			name: "nobody, if all are complete",
			held: []hold{
				{
					key:    1,
					bytes:  60,
					pinned: true,
				},
				{
					key:    2,
					bytes:  40,
					pinned: true,
				},
			},
			take: hold{
				key:   3,
				bytes: 10,
			},
			denied: true,
		},
		{
			name: "one alone may pass the limit",
			held: []hold{{
				key:   1,
				bytes: 90,
			}},
			take: hold{
				key:   1,
				bytes: 20,
			},
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
	tests := []struct {
		name   string
		conns  []conn
		closed int // -1 for none
	}{
		{
			name: "the one that has waited longest",
			conns: []conn{
				{since: 2},
				{since: 1},
				{since: 3},
			},
			closed: 1,
		},
		{
			name: "one that waits before one that is read",
			conns: []conn{
				{phase: Reading},
				{since: 3},
			},
			closed: 1,
		},
		{
			name: "the client with the most",
			conns: []conn{
				{address: "a"},
				{
					address: "b",
					since:   1,
				},
				{
					address: "b",
					since:   2,
					phase:   Reading,
				},
			},
			closed: 1,
		},
		{
			name: "none that is served",
			conns: []conn{
				{phase: Serving},
				{
					phase: Reading,
					since: 9,
				},
			},
			closed: 1,
		},
		{
			name: "all are served",
			conns: []conn{
				{phase: Serving},
				{phase: Serving},
			},
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

// BenchmarkTake measures the decision in calm, and in a crowd when one gives way each time.
func BenchmarkTake(b *testing.B) {
	for _, bench := range []struct {
		name  string
		limit int64
	}{
		{
			name:  "calm",
			limit: 0,
		},
		{
			name:  "crowd",
			limit: 2000,
		},
	} {
		b.Run(bench.name, func(b *testing.B) {
			budget := NewBudget[int](bench.limit)
			for key := range 2000 {
				budget.Take(key, "a", 1, at(time.Duration(key)))
			}
			b.ReportAllocs()
			for n := range b.N {
				budget.Take(2000+n, "a", 1, at(time.Duration(2000+n)))
				if bench.limit == 0 {
					budget.Drop(2000 + n)
				}
			}
		})
	}
}
