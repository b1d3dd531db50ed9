package pool

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

// phase is the progress of a server's takeover.
type phase uint8

const (
	probing    phase = iota // not known to be reachable
	inspecting              // its runs are not known yet
	clearing                // runs of an earlier owner are being stopped
	ready                   // all its runs are owned by this host
	fenced                  // owned by another host; some starts are still unanswered
)

// state is the progress of a run.
type state uint8

const (
	starting state = iota // ordered, not confirmed
	running               // confirmed
	stopping              // stop ordered
)

// run is one start of a task on a server.
type run struct {
	task          work.Task
	owner         string
	state         state
	firstSent     time.Time // time of the first order
	lastSent      time.Time // time of the latest order of the current kind
	sends         int       // number of orders of the current kind
	pendingStarts int       // start orders without a result
	uncertain     bool      // an order got no answer and may have been carried out
	confirmedAt   time.Time
	deadline      int64 // latest deadline of its start orders, on the server's clock
	token         int64 // of its latest start order
	postponed     bool  // its start is repeated once its server isn't in doubt
	lost          bool  // a start order got no answer and may still be carried out
	loss          Loss  // of the process that may have run it, if it is in doubt
	listedBorn    int64 // start time of the process that last listed it; 0 for none
	percent       int   // progress as last listed
	listedAt      time.Time
	stoppingSince time.Time // when the stop was first ordered
	stoppedBy     time.Time // when it must have stopped, as the server answered a stop order; zero without an answer
	missing       bool      // the latest lists lack it
	stopReason    core.Reason
}

// orphan is a run on a server that this host doesn't know, and stops.
type orphan struct {
	ListedRun

	stoppedBy time.Time // when it must have stopped, as the server answered a stop order; zero without an answer
}

// server is one backend server that this host owns or is taking over.
type server struct {
	entry         listing.Server
	born          int64     // start time of the process that answers, in Unix milliseconds; 0 if unknown
	listedBorn    int64     // start time of the process that last returned its lists; 0 if none did or it didn't say
	restartedAt   time.Time // when the latest restart of the process was noticed
	listedAddress string    // from which the process last returned its lists
	polledAddress string    // to which the latest poll was sent
	movedAt       time.Time // when the entry's address last changed
	doubtedAt     time.Time // since when the process may be another one, which the next lists decide; zero if it isn't in doubt
	unansweredAt  time.Time // when a start last got no answer
	replaced      bool      // another server answers at its address; runs there may be started by a later process
	planned       bool      // that process was draining when it ended
	token         int64
	tokenAt       time.Time // when the token was raised; zero if it never was
	phase         phase
	releasing     bool // accepts no more tasks and is removed once it is empty
	health        health.Server
	lastNormalEnd time.Time // when a run last ended close to its predicted run time
	slowdown      float64   // moving average of run time divided by predicted run time; 1 is as predicted

	clock       int64     // latest known server clock, in milliseconds
	clockAt     time.Time // local time at which clock was received
	clockSent   time.Time // local time at which the order was sent whose answer contained clock
	clockLost   bool      // clock is that of an earlier process
	tokenNoted  bool      // the process has answered an order under this host's token
	clockAhead  bool      // the latest lists had a reading that is ahead of what is known
	maxDeadline int64     // latest deadline of any order, on the server's clock
	lastEnd     int       // number of the last end that was processed

	runs   map[string]*run
	sorted []*run    // runs sorted by task name; nil if outdated
	used   work.Size // capacity taken by the runs

	suspects int       // runs of suspected tasks
	orphans  []*orphan // runs of an earlier owner that may not have ended
	losses   []loss    // whose fate is unknown

	pollSerial   int // serial number of the latest poll
	pollInFlight bool
	nextPollAt   time.Time // earliest time of the next poll
	misses       int       // consecutive unanswered calls
}

func newServer(entry listing.Server, token int64, l Limits) *server {
	return &server{
		entry:    entry,
		born:     entry.StartedAtMillis,
		token:    token,
		phase:    inspecting,
		health:   health.New(l.Health),
		slowdown: 1,
		runs:     map[string]*run{},
	}
}

func (s *server) add(name string, r *run) {
	s.runs[name] = r
	s.used = s.used.Add(r.task.Size)
	if r.task.Suspect {
		s.suspects++
	}
	s.sorted = nil
}

func (s *server) remove(name string) {
	if r := s.runs[name]; r != nil {
		s.used = s.used.Sub(r.task.Size)
		if r.task.Suspect {
			s.suspects--
		}
		delete(s.runs, name)
		s.sorted = nil
	}
}

// sortedRuns returns the runs in a fixed order, which makes decisions
// reproducible. Callers may end runs while they iterate over it.
func (s *server) sortedRuns() []*run {
	if s.sorted == nil && len(s.runs) > 0 {
		for _, name := range slices.Sorted(maps.Keys(s.runs)) {
			s.sorted = append(s.sorted, s.runs[name])
		}
	}
	return s.sorted
}

// updateClock records the server's clock from the lists requested at the given time, which
// come from the process that is known to run. The first ones under a token prove that it rejects
// earlier orders from now on; until then these may have been granted leases of up to
// maxLease. A reading that contradicts those before is used if it is behind, or if the next one
// is ahead, too, so that leases don't seem to end early.
func (s *server) updateClock(now, sent time.Time, clock int64, maxLease time.Duration) {
	s.misses = 0
	granted := clock + int64(math.Ceil(maxClockRate*float64(now.Sub(sent).Milliseconds()))) + maxLease.Milliseconds()
	if s.clockAt.IsZero() || s.clockLost {
		s.maxDeadline, s.clockLost, s.clockAhead = granted, false, false
		s.clock, s.clockAt, s.clockSent = clock, now, sent
		return
	}
	if !s.tokenNoted {
		s.maxDeadline = max(s.maxDeadline, granted)
	}
	least, most := s.clockRange(now, sent)
	switch {
	case clock > most && !s.clockAhead:
		s.clockAhead = true
		return
	case clock > most:
		// By the former readings, the leases last longer.
		ahead := clock - most
		s.maxDeadline = min(s.maxDeadline, clock+maxLease.Milliseconds()) + ahead
	case clock >= least && clock < s.clock:
		// The answer was overtaken.
		return
	}
	s.clock, s.clockAt, s.clockSent, s.clockAhead = clock, now, sent, false
}

// maxClockRate is the rate of the fastest server clock that is allowed for, as seen by a host
// whose own clock may be slow.
const maxClockRate = 1.02

// clockUnexpected reports whether a reading of the clock, in the answer to an order sent at
// the given time, contradicts the clock of the process that is known.
func (s *server) clockUnexpected(now, sent time.Time, clock int64) bool {
	if s.clockAt.IsZero() || s.clockLost || sent.IsZero() {
		return false
	}
	least, most := s.clockRange(now, sent)
	return clock < least || clock > most
}

// clockRange returns between which readings the known clock must be in the answer to an order
// sent at the given time.
func (s *server) clockRange(now, sent time.Time) (least, most int64) {
	const rounding = 2
	rate := minClockRate
	if sent.Before(s.clockAt) {
		rate = maxClockRate
	}
	least = s.clock + int64(rate*float64(sent.Sub(s.clockAt).Milliseconds())) - rounding
	most = s.clock + int64(maxClockRate*float64(now.Sub(s.clockSent).Milliseconds())) + rounding
	return least, most
}

// describeClock describes a reading of the clock beside the expected one, for the log.
func (s *server) describeClock(now, sent time.Time, clock int64) string {
	least, most := s.clockRange(now, sent)
	return fmt.Sprintf("by its clock, %d in an answer after %s, expected %d to %d, read %d %s ago",
		clock, now.Sub(sent), least, most, s.clock, now.Sub(s.clockAt))
}

// estimateClock estimates the server's current clock. It lags by at most the
// travel time of an answer.
func (s *server) estimateClock(now time.Time) int64 {
	if s.clockAt.IsZero() {
		return 0
	}
	return s.clock + now.Sub(s.clockAt).Milliseconds()
}

// minClockRate is the rate of the slowest server clock that is allowed for.
const minClockRate = 0.98

// leasesExpired reports whether all leases granted so far must have expired, even
// if the server's clock is slow and it has not answered since.
func (m *Model) leasesExpired(now time.Time, s *server) bool {
	if s.clockAt.IsZero() {
		return false
	}
	if !s.doubtedAt.IsZero() && minClockRate*float64(now.Sub(s.doubtedAt)) <= float64(m.maxLease()+m.limits.StopTimeout) {
		// Another process measures the leases since then by another clock.
		return false
	}
	return m.leasesOver(s, s.minClock(now))
}

// leasesOver reports whether all leases granted so far are over by a reading of the server's
// clock, and the runs have had the time to stop.
func (m *Model) leasesOver(s *server, clock int64) bool {
	return clock > s.maxDeadline+m.limits.StopTimeout.Milliseconds()
}

// minClock returns a reading of the server's clock that it will have passed by the given
// time, even if it is slow. The clock must be known.
func (s *server) minClock(at time.Time) int64 {
	return s.clock + int64(math.Floor(minClockRate*float64(at.Sub(s.clockAt).Milliseconds())))
}

// stopOverdue reports whether a server has neither listed a run nor accepted a stop for it for
// as long as leases last.
func (m *Model) stopOverdue(now time.Time, s *server) bool {
	return slices.ContainsFunc(s.sortedRuns(), func(r *run) bool {
		return r.state == stopping && r.stoppedBy.IsZero() &&
			now.Sub(r.stoppingSince) > m.maxLease() && now.Sub(r.listedAt) > m.maxLease()
	})
}

// newDeadline returns the deadline for an order and records it in maxDeadline. It
// returns 0 if no deadline is possible: the server's clock is unknown or may be that of
// another process, or a run must have ended by now.
func (m *Model) newDeadline(now time.Time, s *server) int64 {
	if s.clockAt.IsZero() || !s.doubtedAt.IsZero() {
		return 0
	}
	clock := s.estimateClock(now)
	deadline := clock + m.limits.Lease.Milliseconds()
	if m.limits.MaxUnconfirmed > 0 && len(s.runs) > 0 {
		deadline = min(deadline, s.minClock(m.mustEndBy(s.oldestConfirmation())))
	}
	if s.phase != ready {
		// A longer lease would extend the runs of other owners.
		deadline = min(deadline, s.maxDeadline)
	}
	if deadline <= clock {
		return 0
	}
	s.maxDeadline = max(s.maxDeadline, deadline)
	return deadline
}

// oldestConfirmation returns the earliest confirmation of a caller that the runs on the
// server have. There must be a run.
func (s *server) oldestConfirmation() time.Time {
	runs := s.sortedRuns()
	oldest := runs[0].task.ConfirmedAt
	for _, r := range runs[1:] {
		if r.task.ConfirmedAt.Before(oldest) {
			oldest = r.task.ConfirmedAt
		}
	}
	return oldest
}

// mustEndBy returns the time by which a run must have ended whose caller was last
// confirmed to be waiting at the given time.
func (m *Model) mustEndBy(confirmedAt time.Time) time.Time {
	return confirmedAt.Add(m.limits.MaxUnconfirmed)
}

// stopDue reports whether a run has to be stopped whose caller was last confirmed to be
// waiting at the given time.
func (m *Model) stopDue(now, confirmedAt time.Time) bool {
	return m.limits.StopUnconfirmed > 0 && now.Sub(confirmedAt) >= m.limits.StopUnconfirmed
}

// endsInTime reports whether a new run on the server would end in time without any further
// order if its caller was last confirmed to be waiting at the given time. A lease holds for
// all runs there, so those granted so far must be over by then. A start must also have the
// time to reach the server, at most a lease: homes count on starts for which that is left.
func (m *Model) endsInTime(now time.Time, s *server, confirmedAt time.Time) bool {
	if m.limits.MaxUnconfirmed == 0 {
		return true
	}
	if s.clockAt.IsZero() {
		return false
	}
	end := s.minClock(m.mustEndBy(confirmedAt))
	if s.maxDeadline > end {
		return false
	}
	if len(s.runs) > 0 {
		end = min(end, s.minClock(m.mustEndBy(s.oldestConfirmation())))
	}
	return end > s.estimateClock(now)+min(m.limits.AnswerTimeout, m.limits.Lease).Milliseconds()
}

// acceptsWork reports whether new tasks may be placed on a server.
func (m *Model) acceptsWork(now time.Time, s *server) bool {
	return s.phase == ready && s.doubtedAt.IsZero() && !s.releasing && !s.entry.Draining && !s.entry.Evacuated &&
		s.misses <= m.allowedMisses() &&
		s.health.State(now) != health.Ejected && len(s.losses) == 0 && s.capacityKnown()
}

// capacityKnown reports whether the entry describes the current process. After a restart under
// the same ID, its capacity and labels may differ from those of the previous one.
func (s *server) capacityKnown() bool {
	return s.entry.StartedAtMillis == 0 || s.entry.StartedAtMillis == s.born
}

// misdirected reports whether an order to an address went where the process of the server has never
// been seen, or is known not to be. Another server that answers there says nothing about its runs.
func (s *server) misdirected(address string) bool {
	if len(s.runs)+len(s.orphans) == 0 {
		return false
	}
	if s.replaced {
		return true
	}
	if address != s.entry.Address {
		for _, r := range s.runs {
			if !r.firstSent.Before(s.movedAt) {
				return true
			}
		}
	}
	return address != s.listedAddress
}

// orderMisdirected reports the same for a start or a stop that was sent at the given time.
func (s *server) orderMisdirected(sent time.Time) bool {
	return s.misdirected(s.entry.Address) || len(s.runs)+len(s.orphans) > 0 && sent.Before(s.movedAt) && !sent.IsZero()
}

// processExpected reports whether the entry describes a later process than the one that answers.
func (s *server) processExpected() bool { return s.born != 0 && s.entry.StartedAtMillis > s.born }

// maxOrderDelay is how long an order without an answer may be on its way.
const maxOrderDelay = 12 * time.Second

// orderOnItsWay reports whether a start without an answer may still arrive. A new process would
// carry it out unless it has received a higher token.
func (s *server) orderOnItsWay(now time.Time) bool {
	return !s.unansweredAt.IsZero() && now.Sub(s.unansweredAt) < maxOrderDelay
}

// countRuns returns how many tasks of a job's step run on the server.
func (s *server) countRuns(job string, step int) int {
	n := 0
	for _, r := range s.sortedRuns() {
		if r.task.Job == job && r.task.Step == step {
			n++
		}
	}
	return n
}
