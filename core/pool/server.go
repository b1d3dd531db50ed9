package pool

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

// phase is how far the takeover of a server has come.
type phase uint8

const (
	peeking  phase = iota // whether it can be reached is unknown
	looking               // what runs there is unknown
	clearing              // runs of an earlier owner are being stopped
	ready                 // everything that runs there is this host's
	lost                  // another host took it; answers to starts are still to come
)

// state is how far a run has come.
type state uint8

const (
	starting state = iota // ordered, not confirmed
	running               // confirmed
	stopping              // a stop was ordered
)

// run is one start of a task on a server.
type run struct {
	task      work.Task
	owner     string
	state     state
	ordered   time.Time // first order
	sent      time.Time // latest order of the current kind
	sends     int       // orders of the current kind
	open      int       // start orders without a result
	unclear   bool      // an order got no answer, so it may have been carried out
	confirmed time.Time
	deadline  int64 // latest deadline of its start orders, on the server's clock
	percent   int   // of the work, as last listed
	listed    time.Time
	stopped   bool        // a stop was answered
	reason    core.Reason // why it was stopped
}

// server is one backend server that this host owns, or is taking over.
type server struct {
	entry     listing.Server
	token     int64
	phase     phase
	releasing bool // takes no more work, and is let go when it is empty
	health    health.Server
	normal    time.Time // when a run last ended in about its predicted time
	pace      float64   // run times by their prediction, averaged; 1 is as predicted

	clock   int64     // last heard, in milliseconds
	heard   time.Time // when
	granted int64     // latest deadline that any order named, on its clock
	seen    int

	runs    map[string]*run
	order   []*run      // the same by name; nil when it is to be made anew
	used    work.Size   // by the runs
	orphans []ListedRun // of an earlier owner, as last listed

	serial  int // of the latest hold
	holding bool
	nextAt  time.Time // no hold before
	misses  int       // calls in a row without an answer
}

func newServer(entry listing.Server, token int64, l Limits) *server {
	return &server{
		entry:  entry,
		token:  token,
		phase:  looking,
		health: health.New(l.Health),
		pace:   1,
		runs:   map[string]*run{},
	}
}

// add notes a new run.
func (s *server) add(name string, r *run) {
	s.runs[name] = r
	s.used = s.used.Plus(r.task.Size)
	s.order = nil
}

// remove forgets a run.
func (s *server) remove(name string) {
	if r := s.runs[name]; r != nil {
		s.used = s.used.Minus(r.task.Size)
		delete(s.runs, name)
		s.order = nil
	}
}

// ordered returns the runs by name, so that decisions repeat. Callers may end runs
// while they go through it.
func (s *server) ordered() []*run {
	if s.order == nil && len(s.runs) > 0 {
		for _, name := range slices.Sorted(maps.Keys(s.runs)) {
			s.order = append(s.order, s.runs[name])
		}
	}
	return s.order
}

// listen notes the server's clock from an answer.
func (s *server) listen(now time.Time, clock int64) {
	s.misses = 0
	if clock >= s.clock {
		s.clock, s.heard = clock, now
	}
}

// clockNow estimates the server's clock; it is never behind by more than the
// time an answer travels.
func (s *server) clockNow(now time.Time) int64 {
	if s.heard.IsZero() {
		return 0
	}
	return s.clock + now.Sub(s.heard).Milliseconds()
}

// slowestClock is the rate of the slowest clock that a server may have.
const slowestClock = 0.98

// expired reports whether every lease that was ever granted must have run out,
// though the server may have been silent since.
func (s *server) expired(now time.Time) bool {
	if s.heard.IsZero() {
		return false
	}
	least := s.clock + int64(slowestClock*float64(now.Sub(s.heard).Milliseconds()))
	return least > s.granted
}

// grant returns the deadline for an order, and remembers it.
func (s *server) grant(now time.Time, lease time.Duration) int64 {
	if s.heard.IsZero() {
		return 0
	}
	deadline := s.clockNow(now) + lease.Milliseconds()
	s.granted = max(s.granted, deadline)
	return deadline
}

// takes reports whether new work may go to a server.
func (m *Model) takes(now time.Time, s *server) bool {
	return s.phase == ready && !s.releasing && !s.entry.Draining && s.misses <= m.misses() &&
		s.health.State(now) != health.Ejected
}

// countOf returns how many tasks of a job's step run on the server.
func (s *server) countOf(job string, step int) int {
	n := 0
	for _, r := range s.ordered() {
		if r.task.Job == job && r.task.Step == step {
			n++
		}
	}
	return n
}
