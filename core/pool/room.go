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

// Room is what a pool could start now, and all that it has.
type Room struct {
	Slots []Slot
	Total int // thousandths of a core, of servers that take work
}

// Room returns the free room at a moment.
func (m *Model) Room(now time.Time) Room {
	var room Room
	for _, s := range m.sorted() {
		if !s.takes(now) {
			continue
		}
		room.Total += s.entry.Capacity.CPU
		free := s.entry.Capacity.Minus(s.used())
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
