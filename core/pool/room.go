package pool

import (
	"time"

	"rosemarywalk/core/work"
)

// Slot is what one backend server has free.
type Slot struct {
	Free   work.Size
	Labels []string
	Slow   bool // used last
}

// Capacity is what a pool could start now, and all that it has.
type Capacity struct {
	Slots   []Slot
	Total   int       // thousandths of a core, of servers that take work
	Flow    int       // thousandths of a core that runs give back in a second, as predicted
	Largest work.Size // that any server has
}

// Capacity returns the free room at a moment.
func (m *Model) Capacity(now time.Time) Capacity {
	var room Capacity
	for _, s := range m.sorted() {
		if !m.takes(now, s) {
			continue
		}
		room.Total += s.entry.Capacity.CPU
		room.Flow += s.flow(now)
		room.Largest = room.Largest.Max(s.entry.Capacity)
		free := s.entry.Capacity.Minus(s.used)
		if free.CPU <= 0 {
			continue
		}
		room.Slots = append(room.Slots, Slot{
			Free:   free,
			Labels: s.entry.Labels,
			Slow:   s.pace > m.limits.PaceMax,
		})
	}
	return room
}

// Idle reports whether nothing runs and every server is known to be free.
func (m *Model) Idle() bool {
	for _, s := range m.servers {
		if len(s.runs) > 0 || s.phase != ready || s.misses > 0 || s.releasing {
			return false
		}
	}
	return true
}

// Pending returns how many runs have not ended.
func (m *Model) Pending() int { return len(m.where) }

// OwnerOf returns who is told the end of a task's run.
func (m *Model) OwnerOf(name string) (owner string, ok bool) {
	s := m.servers[m.where[name]]
	if s == nil || s.runs[name] == nil {
		return "", false
	}
	return s.runs[name].owner, true
}

// overdue is the run time, by its prediction, after which a run is no longer
// counted on to end.
const overdue = 3

// flow returns the thousandths of a core that the server's runs give back in a
// second.
func (s *server) flow(now time.Time) int {
	sum := 0.0
	for _, r := range s.ordered() {
		if r.task.Expect > 0 && now.Sub(r.ordered) < overdue*r.task.Expect {
			sum += float64(r.task.Size.CPU) / r.task.Expect.Seconds()
		}
	}
	return int(sum)
}
