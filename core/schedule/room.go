package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// room is what a host's pool could start, less what was sent there since.
type room struct {
	at      time.Time // when it was told
	slots   []pool.Slot
	free    int // thousandths of a core in all slots
	total   int // thousandths of a core
	flow    int // thousandths of a core that runs give back in a second
	largest work.Size
}

// newRoom takes the room of a pool, and its slots for its own.
func newRoom(now time.Time, from pool.Capacity) *room {
	r := &room{
		at:      now,
		slots:   from.Slots,
		total:   from.Total,
		flow:    from.Flow,
		largest: from.Largest,
	}
	for _, s := range r.slots {
		r.free += s.Free.CPU
	}
	return r
}

// usable returns the free thousandths of a core that tasks of a size can take.
func (r *room) usable(size work.Size) int {
	sum := 0
	for _, s := range r.slots {
		if size.CPU > 0 && size.Fits(s.Free) {
			sum += s.Free.CPU / size.CPU * size.CPU
		}
	}
	return sum
}

// usable returns the free thousandths of a core that tasks of a size can take
// anywhere.
func (m *Model) usable(size work.Size) int {
	sum := 0
	for _, r := range m.rooms {
		sum += r.usable(size)
	}
	return sum
}

// best returns the tightest slot that a task fits, or -1. Slow slots come last.
func (r *room) best(t work.Task) int {
	found := -1
	for i, s := range r.slots {
		if !t.Size.Fits(s.Free) || (t.Requires != "" && !slices.Contains(s.Labels, t.Requires)) {
			continue
		}
		if found < 0 || before(s, r.slots[found]) {
			found = i
		}
	}
	return found
}

func before(a, b pool.Slot) bool {
	if a.Slow != b.Slow {
		return b.Slow
	}
	return a.Free.CPU < b.Free.CPU
}

// take subtracts a task from a slot.
func (r *room) take(slot int, size work.Size) {
	r.slots[slot].Free = r.slots[slot].Free.Minus(size)
	r.free -= size.CPU
}

// full is what found no room in one pass over the queue; room only shrinks
// within a pass, so whatever needs as much finds none either.
type full struct{ tasks []work.Task }

// covers reports whether a task needs as much as one that found no room.
func (f *full) covers(t work.Task) bool {
	for _, o := range f.tasks {
		if (o.Requires == "" || o.Requires == t.Requires) && o.Size.Fits(t.Size) {
			return true
		}
	}
	return false
}

// add notes a task that found no room, in place of those that need more.
func (f *full) add(t work.Task) {
	one := full{tasks: []work.Task{t}}
	f.tasks = append(slices.DeleteFunc(f.tasks, one.covers), t)
}

// forgetRooms drops the room of hosts that no longer tell of it: they hold no
// backend servers any more, or lend to others.
func (m *Model) forgetRooms(now time.Time) {
	if m.limits.Stale <= 0 {
		return
	}
	for host, r := range m.rooms {
		if host != m.self && now.Sub(r.at) >= m.limits.Stale {
			m.dropRoom(host)
		}
	}
}

func (m *Model) dropRoom(host string) {
	delete(m.rooms, host)
	m.hosts = slices.DeleteFunc(m.hosts, func(h string) bool { return h == host })
}

// Hosts returns the hosts whose room is known, sorted.
func (m *Model) Hosts() []string { return slices.Clone(m.hosts) }

// Total returns all that the pools have, in thousandths of a core.
func (m *Model) Total() int {
	total := 0
	for _, r := range m.rooms {
		total += r.total
	}
	return total
}
