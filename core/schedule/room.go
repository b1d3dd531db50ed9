package schedule

import (
	"slices"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// room is what a host's pool could start, less what was sent there since.
type room struct {
	slots   []pool.Slot
	total   int // thousandths of a core
	flow    int // thousandths of a core that runs give back in a second
	largest work.Size
}

func newRoom(r pool.Room) *room {
	return &room{
		slots:   slices.Clone(r.Slots),
		total:   r.Total,
		flow:    r.Flow,
		largest: r.Largest,
	}
}

// free returns the free thousandths of a core.
func (r *room) free() int {
	sum := 0
	for _, s := range r.slots {
		sum += s.Free.CPU
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
}

// Hosts returns the hosts whose room is known, sorted.
func (m *Model) Hosts() []string { return m.hosts() }

// Total returns all that the pools have, in thousandths of a core.
func (m *Model) Total() int {
	total := 0
	for _, r := range m.rooms {
		total += r.total
	}
	return total
}
