package pool

import (
	"time"

	"rosemarywalk/core/speed"
	"rosemarywalk/core/work"
)

// Slot is the free capacity of one backend server.
type Slot struct {
	Free   work.Size
	Labels []string
	Speed  float64 // work a second relative to the usual server; 1 if unknown
	Slow   bool    // slower than predicted; used last

	Busy    bool // has runs
	Suspect bool // one of them is of a suspected task
}

// Capacity is the free and the total capacity of a pool.
type Capacity struct {
	Slots       []Slot
	TotalCPU    int       // thousandths of a core of all servers that accept tasks
	ReleaseRate int       // thousandths of a core that runs are predicted to release per second
	Largest     work.Size // largest capacity of any server, in each dimension
	Fast        float64   // speed of the fastest servers, by which tasks may be planned; 0 if most are alike
}

// fastShare is the share of the capacity that the fastest servers must have together, and so the slowest
// ones: with fewer that differ, servers are alike.
const fastShare = 0.125

// Capacity returns the free and the total capacity at the given time.
func (m *Model) Capacity(now time.Time) Capacity {
	servers := m.sortedServers()
	capacity := Capacity{Slots: make([]Slot, 0, len(servers))}
	var speeds speed.Shares
	for _, s := range servers {
		if !m.acceptsWork(now, s) {
			continue
		}
		capacity.TotalCPU += s.entry.Capacity.CPU
		capacity.ReleaseRate += s.releaseRate(now)
		speeds.Add(s.speed, s.entry.Capacity.CPU)
		capacity.Largest = capacity.Largest.Max(s.entry.Capacity)
		free := s.entry.Capacity.Sub(s.used)
		if free.CPU <= 0 || free.Memory < 0 || free.GPU < 0 {
			continue
		}
		capacity.Slots = append(capacity.Slots, Slot{
			Free:   free,
			Labels: s.entry.Labels,
			Slow:   s.slowdown > m.limits.MaxSlowdown,
			Speed:  s.speed,

			Busy:    len(s.runs) > 0,
			Suspect: s.suspects > 0,
		})
	}
	if fast := speeds.Top(fastShare); fast > speeds.Top(1-fastShare) {
		capacity.Fast = fast
	}
	return capacity
}

// Idle reports whether nothing runs and every server is ready, reachable, of known fate
// and not being released.
func (m *Model) Idle() bool {
	for _, s := range m.servers {
		if len(s.runs) > 0 || s.phase != ready || s.misses > 0 || s.releasing || len(s.losses) > 0 {
			return false
		}
	}
	return true
}

// Pending returns the number of runs that have not ended.
func (m *Model) Pending() int { return len(m.serverByTask) }

// OwnerOf returns the owner of a task's run, who is notified when it ends.
func (m *Model) OwnerOf(name string) (owner string, ok bool) {
	s := m.servers[m.serverByTask[name]]
	if s == nil || s.runs[name] == nil {
		return "", false
	}
	return s.runs[name].owner, true
}

// overdueFactor is the ratio of run time to predicted run time from which a run
// no longer counts towards the release rate.
const overdueFactor = 3

// releaseRate returns the thousandths of a core that the server's runs are
// predicted to release per second.
func (s *server) releaseRate(now time.Time) int {
	sum := 0.0
	for _, r := range s.sortedRuns() {
		predicted := s.predicted(r)
		if predicted > 0 && now.Sub(r.firstSent) < overdueFactor*predicted {
			sum += float64(r.task.Size.CPU) / predicted.Seconds()
		}
	}
	return int(sum)
}
