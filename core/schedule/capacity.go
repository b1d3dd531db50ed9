package schedule

import (
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/room"
	"rosemarywalk/core/work"
)

// poolView is the last reported capacity of a host's pool, less the tasks sent there
// since.
type poolView struct {
	updatedAt   time.Time // when the report arrived
	slots       []pool.Slot
	full        []pool.Slot  // servers without free capacity, if known
	room        room.Profile // of slots and full; the room that is kept in this pass
	free        int          // millicores free in all slots
	total       int          // millicores
	releaseRate int          // millicores per second that ending runs release
	backlog     int          // millicores of the tasks that wait at the host itself
	largest     work.Size    // largest capacity of any server, by component
	fast        float64      // speed of the fastest servers, 0 if unknown
}

// newPoolView converts a capacity report, and takes ownership of its slots.
func newPoolView(now time.Time, msg CapacityMsg) *poolView {
	p := &poolView{
		updatedAt:   now,
		slots:       msg.Capacity.Slots,
		full:        msg.Capacity.Full,
		total:       msg.Capacity.TotalCPU,
		releaseRate: msg.Capacity.ReleaseRate,
		backlog:     msg.Backlog,
		largest:     msg.Capacity.Largest,
		fast:        msg.Capacity.Fast,
	}
	for _, s := range p.slots {
		p.free += s.Free.CPU
	}
	return p
}

// usable returns the free millicores that tasks of a size can use.
func (p *poolView) usable(size work.Size) int {
	sum := 0
	for i, s := range p.slots {
		if size.CPU > 0 && size.Fits(s.Free) && !p.room.Keeps(i) {
			sum += s.Free.CPU / size.CPU * size.CPU
		}
	}
	return sum
}

// usable returns the free millicores that tasks of a size can use in all pools.
func (m *Model) usable(size work.Size) int {
	sum := 0
	for _, p := range m.pools {
		sum += p.usable(size)
	}
	return sum
}

// LacksCapacity reports whether jobs wait here for capacity. Those that only wait until the other
// homes have acknowledged them don't, if the own pool has room for all of them then.
func (m *Model) LacksCapacity(now time.Time) bool {
	var size work.Size
	backlog := 0
	for _, j := range m.queue {
		if !m.awaitsAcknowledgement(now, j) {
			return true
		}
		size = size.Max(j.largest())
		backlog += j.backlog
	}
	own := m.pools[m.self]
	return backlog > 0 && (own == nil || backlog > own.usable(size))
}

// bestSlot returns the index of the slot with the least free CPU that a task fits into,
// or -1. Slow slots are used last, and those whose servers are slower than the task allows
// aren't used.
func (p *poolView) bestSlot(t work.Task) int {
	found := -1
	for i, s := range p.slots {
		if !t.Size.Fits(s.Free) || (t.Requires != "" && !slices.Contains(s.Labels, t.Requires)) {
			continue
		}
		if speedOf(s) < t.MinSpeed || (t.Suspect && s.Suspect) || p.room.Delays(i, t.Size, timeAt(s, t)) {
			continue
		}
		if found < 0 || preferSlot(s, p.slots[found], t) {
			found = i
		}
	}
	return found
}

func preferSlot(a, b pool.Slot, t work.Task) bool {
	if costA, costB := penalty(a, t), penalty(b, t); costA != costB {
		return costA < costB
	}
	return a.Free.CPU < b.Free.CPU
}

// penalty returns the rank of a slot for a task: slow ones come after others, and those where a
// suspect would have company after all of these.
func penalty(s pool.Slot, t work.Task) int {
	const (
		slow    = 1
		company = 2
	)
	cost := 0
	if s.Slow {
		cost += slow
	}
	if (t.Suspect && s.Busy) || (!t.Suspect && s.Suspect) {
		cost += company
	}
	return cost
}

// reserve subtracts a task from the free capacity of a slot.
func (p *poolView) reserve(slot int, t work.Task) {
	s := &p.slots[slot]
	s.Free, s.Busy, s.Suspect = s.Free.Sub(t.Size), true, s.Suspect || t.Suspect
	p.free -= t.Size.CPU
}

// unplaceable records the tasks that could not be placed in one pass over the queue.
// Free capacity only shrinks during a pass, so a task that needs at least as much, for at least
// as long, can't be placed either.
type unplaceable struct {
	tasks []work.Task
	timed bool // shorter tasks may be placed where longer ones can't
}

// covers reports whether a task needs at least as much as one that could not be placed.
func (u *unplaceable) covers(t work.Task) bool {
	for _, o := range u.tasks {
		if u.timed && t.PredictedTime < o.PredictedTime {
			continue
		}
		if (o.Requires == "" || o.Requires == t.Requires) && (!o.Suspect || t.Suspect) && o.MinSpeed <= t.MinSpeed && o.Size.Fits(t.Size) {
			return true
		}
	}
	return false
}

// add records a task that could not be placed, and removes those that it covers.
func (u *unplaceable) add(t work.Task) {
	one := unplaceable{
		tasks: []work.Task{t},
		timed: u.timed,
	}
	u.tasks = append(slices.DeleteFunc(u.tasks, one.covers), t)
}

// dropStalePools removes hosts that stopped reporting capacity: they own no backend
// servers any more, or lend their capacity to other hosts.
func (m *Model) dropStalePools(now time.Time) {
	if m.limits.CapacityTTL <= 0 {
		return
	}
	for host, p := range m.pools {
		if host != m.self && now.Sub(p.updatedAt) >= m.limits.CapacityTTL {
			m.dropPool(host)
		}
	}
}

func (m *Model) dropPool(host string) {
	delete(m.pools, host)
	m.hosts = slices.DeleteFunc(m.hosts, func(h string) bool { return h == host })
}

// Hosts returns the sorted names of the hosts whose capacity is known.
func (m *Model) Hosts() []string { return slices.Clone(m.hosts) }

// TotalCPU returns the total capacity of all pools in millicores.
func (m *Model) TotalCPU() int {
	total := 0
	for _, p := range m.pools {
		total += p.total
	}
	return total
}
