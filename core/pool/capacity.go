package pool

import (
	"cmp"
	"slices"
	"time"

	"rosemarywalk/core/speed"
	"rosemarywalk/core/work"
)

// Slot is the free capacity of one backend server.
type Slot struct {
	Server string // ID; "" in reports of other hosts
	Free   work.Size
	Labels []string
	Speed  float64 // work a second relative to the usual server; 1 if unknown
	Slow   bool    // slower than predicted; used last

	Busy    bool // has runs
	Suspect bool // one of them is of a suspected task

	Kept bool  // takes only tasks that name it
	Ends []End // predicted ends of its runs, the earliest first
}

// End is the predicted end of a run.
type End struct {
	In   time.Duration
	Size work.Size // that it releases
}

// Capacity is the free and the total capacity of a pool.
type Capacity struct {
	Slots       []Slot
	Full        []Slot    // servers without free capacity, if ends are predicted
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
	var ends []End
	if m.limits.MaxEnds > 0 {
		ends = make([]End, 0, len(m.serverByTask))
	}
	for _, s := range servers {
		if !m.acceptsWork(now, s) {
			continue
		}
		capacity.TotalCPU += s.entry.Capacity.CPU
		capacity.ReleaseRate += s.releaseRate(now)
		speeds.Add(s.speed, s.entry.Capacity.CPU)
		capacity.Largest = capacity.Largest.Max(s.entry.Capacity)
		free := s.entry.Capacity.Sub(s.used)
		full := free.CPU <= 0 || free.Memory < 0 || free.GPU < 0
		if full && m.limits.MaxEnds == 0 {
			continue
		}
		begin := len(ends)
		ends = s.appendEnds(ends, now, m.limits.MaxEnds)
		slot := Slot{
			Server: s.entry.ID,
			Free:   free,
			Labels: s.entry.Labels,
			Slow:   m.isSlow(s),
			Speed:  s.speed,

			Busy:    len(s.runs) > 0,
			Suspect: s.suspects > 0,

			Kept: m.kept[s.entry.ID],
			Ends: ends[begin:len(ends):len(ends)],
		}
		if full {
			capacity.Full = append(capacity.Full, slot)
		} else {
			capacity.Slots = append(capacity.Slots, slot)
		}
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

// appendEnds appends the predicted ends of the server's runs, the earliest first, and at most a
// number of them.
func (s *server) appendEnds(ends []End, now time.Time, limit int) []End {
	begin := len(ends)
	if limit == 0 || len(s.runs) == 0 {
		return ends
	}
	for _, r := range s.sortedRuns() {
		if predicted := s.predicted(r); predicted > 0 {
			ends = append(ends, End{
				In:   remaining(predicted, now.Sub(r.firstSent)),
				Size: r.task.Size,
			})
		}
	}
	slices.SortStableFunc(ends[begin:], func(a, b End) int { return cmp.Compare(a.In, b.In) })
	return ends[:min(begin+limit, len(ends))]
}

// leastRemaining is the share of its predicted time for which a run that is due still runs.
const leastRemaining = 0.1

// remaining returns how long a run will go on. One that is past its prediction ends the later, the
// longer it is overdue.
func remaining(predicted, elapsed time.Duration) time.Duration {
	least := time.Duration(leastRemaining * float64(predicted))
	return max(predicted-elapsed, least, elapsed-predicted)
}
