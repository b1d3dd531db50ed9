package room

import (
	"cmp"
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// Start is room for one task on a backend server.
type Start struct {
	Slot int // index of the server's slot in the profile
	In   time.Duration
	Size work.Size
}

// Request is a number of tasks of one size.
type Request struct {
	Size     work.Size
	Requires string  // label that the backend server must have; "" for none
	MinSpeed float64 // of the backend server, relative to the usual one; 0 if any will do
	Count    int
}

// Profile is the capacity of the backend servers of a pool over time, less the starts for which
// room is kept. A Profile is immutable.
type Profile struct {
	slots []pool.Slot
	kept  []Start
	runs  []run
}

// run is a run that isn't among those of the slots.
type run struct {
	slot int
	size work.Size
	end  time.Duration
}

// New returns a profile in which no room is kept; it doesn't modify the slots.
func New(slots []pool.Slot) Profile { return Profile{slots: slots} }

// WithKept returns the profile with room kept for further starts.
func (p Profile) WithKept(starts []Start) Profile {
	p.kept = append(slices.Clip(p.kept), starts...)
	return p
}

// WithRun returns the profile after the start of a task that may run for a given time; 0 if
// unknown.
func (p Profile) WithRun(slot int, size work.Size, took time.Duration) Profile {
	p.runs = append(slices.Clip(p.runs), run{
		slot: slot,
		size: size,
		end:  cmp.Or(took, endOfTime),
	})
	return p
}

// Kept returns the starts for which room is kept.
func (p Profile) Kept() []Start { return p.kept }

// Keeps reports whether room is kept on a slot's server.
func (p Profile) Keeps(slot int) bool {
	return slices.ContainsFunc(p.kept, func(k Start) bool { return k.Slot == slot })
}

// Earliest returns when and where the tasks of a request can start. Of two servers it prefers the
// one on which less capacity stays idle until then, which is mostly the one where they start first.
// It returns fewer starts than tasks if the ends of the known runs don't release room for all.
func (p Profile) Earliest(r Request) []Start {
	candidates := make([]candidate, 0, len(p.slots))
	for i := range p.slots {
		if c, ok := p.candidate(i, r); ok {
			candidates = append(candidates, c)
		}
	}
	starts := make([]Start, 0, r.Count)
	for len(starts) < r.Count && len(candidates) > 0 {
		best := 0
		for i, c := range candidates {
			if c.idle < candidates[best].idle {
				best = i
			}
		}
		start := candidates[best].start
		starts = append(starts, start)
		p = p.WithKept([]Start{start})
		next, ok := p.candidate(start.Slot, r)
		if ok {
			candidates[best] = next
		} else {
			candidates = slices.Delete(candidates, best, best+1)
		}
	}
	return starts
}

// candidate is the earliest start on one backend server.
type candidate struct {
	start Start
	idle  float64 // core seconds that stay idle there until then, with the task's own size
}

func (p Profile) candidate(slot int, r Request) (c candidate, ok bool) {
	in := p.firstFit(slot, r)
	return candidate{
		start: Start{
			Slot: slot,
			In:   in,
			Size: r.Size,
		},
		idle: in.Seconds() * float64(r.Size.CPU+p.slots[slot].Free.CPU),
	}, in != never
}

// never is the start of a task for which no room is predicted.
const never = time.Duration(-1)

// firstFit returns the earliest time from which a task of the request fits into a slot beside all
// kept starts there, or never.
func (p Profile) firstFit(slot int, r Request) time.Duration {
	s := &p.slots[slot]
	if (r.Requires != "" && !slices.Contains(s.Labels, r.Requires)) || cmp.Or(s.Speed, 1) < r.MinSpeed {
		return never
	}
	if !p.Keeps(slot) && !p.hasRun(slot) {
		return firstRelease(s, r.Size)
	}
	if !r.Size.Fits(p.freeAt(slot, endOfTime)) {
		return never
	}
	// Kept starts take capacity, so a task that fits at one time may not fit at a later one.
	releases := p.releases(slot)
	for i, in := range slices.Backward(releases) {
		if !r.Size.Fits(p.freeAt(slot, in)) || p.delays(slot, r.Size, in, endOfTime) {
			if i == len(releases)-1 {
				return never
			}
			return releases[i+1]
		}
	}
	return 0
}

// firstRelease returns when a task of a size first fits on a slot's server, or never.
func firstRelease(s *pool.Slot, size work.Size) time.Duration {
	free := s.Free
	if size.Fits(free) {
		return 0
	}
	for _, e := range s.Ends {
		if free = free.Add(e.Size); size.Fits(free) {
			return e.In
		}
	}
	return never
}

func (p Profile) hasRun(slot int) bool {
	return slices.ContainsFunc(p.runs, func(r run) bool { return r.slot == slot })
}

// releases returns the times from which more may be free on a slot's server, in order.
func (p Profile) releases(slot int) []time.Duration {
	times := make([]time.Duration, 1, len(p.slots[slot].Ends)+len(p.runs)+1)
	for _, e := range p.slots[slot].Ends {
		times = append(times, e.In)
	}
	for _, r := range p.runs {
		if r.slot == slot && r.end < endOfTime {
			times = append(times, r.end)
		}
	}
	slices.Sort(times)
	return times
}

// endOfTime is later than all ends and kept starts.
const endOfTime = time.Duration(1<<63 - 1)

// freeAt returns what is free on a slot's server at a time, after the kept starts until then.
func (p Profile) freeAt(slot int, in time.Duration) work.Size {
	free := p.slots[slot].Free
	for _, e := range p.slots[slot].Ends {
		if e.In > in {
			break
		}
		free = free.Add(e.Size)
	}
	for _, k := range p.kept {
		if k.Slot == slot && k.In <= in {
			free = free.Sub(k.Size)
		}
	}
	for _, r := range p.runs {
		if r.slot == slot && in < r.end {
			free = free.Sub(r.size)
		}
	}
	return free
}

// delays reports whether a run between two times lacks room beside a kept start on its server.
func (p Profile) delays(slot int, size work.Size, from, until time.Duration) bool {
	return slices.ContainsFunc(p.kept, func(k Start) bool {
		return k.Slot == slot && k.In >= from && k.In < until && !size.Fits(p.freeAt(slot, k.In))
	})
}

// runSpread is the ratio to the predicted run time within which most runs end.
const runSpread = 1.25

// Delays reports whether a task that starts now in a slot would delay a start for which room is
// kept there. A task of unknown run time, 0, may run for any time.
func (p Profile) Delays(slot int, size work.Size, run time.Duration) bool {
	until := time.Duration(runSpread * float64(run))
	if run <= 0 {
		until = endOfTime
	}
	return p.delays(slot, size, 0, until)
}
