package schedule

import (
	"cmp"
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/room"
	"rosemarywalk/core/work"
)

// keeper keeps room in the own pool for the first jobs of a pass over the queue whose tasks could
// not all be placed. The load pattern is small tasks that take each gap before it is large enough
// for a larger one.
type keeper struct {
	own    *poolView // nil if no room is kept
	limit  int       // of jobs
	orders []work.Task

	declined int // tasks that fit somewhere, but would delay a kept start
}

// newKeeper returns a keeper for a new pass, in which no room is kept yet.
func (m *Model) newKeeper() *keeper {
	own := m.pools[m.self]
	if m.limits.KeptJobs == 0 || own == nil {
		return &keeper{}
	}
	own.room = room.Profile{}
	return &keeper{
		own:   own,
		limit: m.limits.KeptJobs,
	}
}

// add records a task of the current job that could not be placed. A suspected one may wait for
// another reason than room.
func (k *keeper) add(order work.Task) {
	if k.own != nil && k.limit > 0 && !order.Suspect {
		k.orders = append(k.orders, order)
	}
}

// decline counts a task that could not be placed, the first time that this is because room is kept.
func (k *keeper) decline(t *task, order work.Task) {
	if k.own == nil || t.declined || len(k.own.room.Kept()) == 0 {
		return
	}
	for i, s := range k.own.slots {
		if order.Size.Fits(s.Free) && k.own.room.Delays(i, order.Size, timeAt(s, order)) {
			t.declined = true
			k.declined++
			return
		}
	}
}

// keep keeps room for the recorded tasks of a job, unless they would start too late to be of use.
func (k *keeper) keep(now time.Time, j *job) {
	if len(k.orders) == 0 {
		return
	}
	orders := k.orders
	k.orders = nil
	if j.demoted {
		return
	}
	k.limit--
	if len(k.own.room.Kept()) == 0 {
		k.own.room = room.New(slices.Concat(k.own.slots, k.own.full))
	}
	latest := j.usefulUntil.Sub(now) - j.minRemaining()
	for len(orders) > 0 {
		same := 1
		for same < len(orders) && orders[same].Size == orders[0].Size && orders[same].Requires == orders[0].Requires && orders[same].MinSpeed == orders[0].MinSpeed {
			same++
		}
		starts := k.own.room.Earliest(room.Request{
			Size:     orders[0].Size,
			Requires: orders[0].Requires,
			MinSpeed: orders[0].MinSpeed,
			Count:    same,
		})
		starts = slices.DeleteFunc(starts, func(s room.Start) bool { return s.In > latest })
		k.own.room = k.own.room.WithKept(starts)
		orders = orders[same:]
	}
}

// keepCmds returns a command if the servers on which room is kept have changed, or tasks were
// declined.
func (m *Model) keepCmds(declined int) []Cmd {
	var servers []string
	if own := m.pools[m.self]; own != nil {
		for _, s := range own.room.Kept() {
			servers = append(servers, own.slot(s.Slot).Server)
		}
	}
	slices.Sort(servers)
	servers = slices.Compact(servers)
	if declined == 0 && slices.Equal(servers, m.kept) {
		return nil
	}
	added := 0
	for _, id := range servers {
		if _, kept := slices.BinarySearch(m.kept, id); !kept {
			added++
		}
	}
	m.kept = servers
	return []Cmd{KeepCmd{
		Servers:  servers,
		Added:    added,
		Declined: declined,
	}}
}

// slot returns a slot of the pool's profile.
func (p *poolView) slot(i int) pool.Slot {
	if i < len(p.slots) {
		return p.slots[i]
	}
	return p.full[i-len(p.slots)]
}

// predictEnd adds a task that was placed in this pass to what is known of a slot's server.
func (p *poolView) predictEnd(slot int, t work.Task) {
	s := &p.slots[slot]
	took := timeAt(*s, t)
	if len(p.room.Kept()) > 0 {
		p.room = p.room.WithRun(slot, t.Size, took)
	}
	if took <= 0 {
		return
	}
	s.Ends = append(slices.Clip(s.Ends), pool.End{
		In:   took,
		Size: t.Size,
	})
	slices.SortStableFunc(s.Ends, func(a, b pool.End) int { return cmp.Compare(a.In, b.In) })
}
