package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/speed"
	"rosemarywalk/core/work"
)

// Limits sets the time limits of orders and the thresholds by which servers are
// judged.
type Limits struct {
	Lease          time.Duration // length of the requested leases
	MaxLease       time.Duration // longest lease that servers grant; at least Lease is assumed
	AnswerTimeout  time.Duration // time after which an order counts as unanswered
	HedgeDelay     time.Duration // time after which an unanswered start is sent a second time in parallel
	PollWait       time.Duration // longest time a poll waits for an end
	ShortPollWait  time.Duration // longest wait of a poll while a start or stop is unconfirmed or many answers get lost
	TakeoverDelay  time.Duration // delay between reaching a server of another failure domain and taking it over
	RetakeDelay    time.Duration // delay before a server that another host took over may be taken over again
	SlowFactor     float64       // ratio of run time to predicted run time above which a server is slow
	SlowMargin     time.Duration // added to the prediction before a run may count as slow
	StartTimeout   time.Duration // time after which an unanswered start is abandoned
	ProbeInterval  time.Duration // interval between polls to a server that does not answer
	Health         health.Limits
	SlowdownWeight float64 // weight of a new run in a server's average slowdown
	MaxSlowdown    float64 // average slowdown above which a server is used last
	SpeedWeight    float64 // weight of a new run in a server's estimated speed; 0 takes all servers for equally fast

	MaxEnds  int  // predicted ends that are reported for each server; 0 for none
	ColdLast bool // servers that are warming up are used last, and not judged

	// StopTimeout is the longest time that servers take to stop a run, on their clocks.
	StopTimeout time.Duration

	// MaxUnconfirmed is the time after a task's ConfirmedAt by which its run must have
	// ended, even if no further order reaches the server; 0 for no limit.
	MaxUnconfirmed time.Duration

	// StopUnconfirmed is the time after a task's ConfirmedAt at which its run is
	// stopped, which frees the leases of the other runs on its server from its limit;
	// 0 to stop none.
	StopUnconfirmed time.Duration
}

// Model is the state of the backend servers of one service that this host owns.
type Model struct {
	domain       string // failure domain of this host
	limits       Limits
	servers      map[string]*server
	sorted       []*server            // servers sorted by ID; nil if outdated
	usual        speed.Usual          // speed of the servers
	speedsAt     time.Time            // when all speeds were last updated
	maxToken     int64                // highest token used so far
	lossRate     float64              // moving average of calls without an answer
	tickedAt     time.Time            // of the latest tick
	delay        time.Duration        // how late this host got to its work at that time
	fencedAt     map[string]time.Time // when another host took over a server, by server ID
	serverByTask map[string]string    // server ID by the name of a running task
	kept         map[string]bool      // servers that take only tasks that name them, by ID
	orphanLeases map[string]time.Time // when unknown runs at servers that were removed have ended, by task name
}

// New returns a pool without servers for a host in the given failure domain.
func New(domain string, l Limits) *Model {
	return &Model{
		domain:       domain,
		limits:       l,
		servers:      map[string]*server{},
		fencedAt:     map[string]time.Time{},
		serverByTask: map[string]string{},
		orphanLeases: map[string]time.Time{},
	}
}

// maxLease returns the longest lease that any owner can have been granted.
func (m *Model) maxLease() time.Duration { return max(m.limits.Lease, m.limits.MaxLease) }

// The loss rate over all servers distinguishes a single server that is gone, which
// loses few calls, from a network that loses answers of every server.
const (
	lossWeight       = 0.02 // weight of one call in the moving average
	highLossRate     = 0.1  // rate from which losses are attributed to the network
	missesAtHighLoss = 2    // consecutive unanswered calls allowed per server at a high loss rate
)

// recordCall updates the loss rate with a call that was answered or not.
func (m *Model) recordCall(s *server, answered bool) {
	lost := 0.0
	if !answered {
		lost = 1
		s.misses++
	}
	m.lossRate += lossWeight * (lost - m.lossRate)
}

// recordUnanswered updates the loss rate with a call without an answer, which this host may have
// been too late to read.
func (m *Model) recordUnanswered(s *server, late bool) {
	if late {
		s.misses++
		return
	}
	m.recordCall(s, false)
}

// allowedMisses returns how many consecutive calls a server may leave unanswered
// before it gets no new tasks.
func (m *Model) allowedMisses() int {
	if m.lossRate >= highLossRate {
		return missesAtHighLoss
	}
	return 0
}

// Update handles one message and returns the commands that result from it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case AssignMsg:
		return m.assign(now, msg)
	case RunMsg:
		return m.run(now, msg)
	case StopMsg:
		return m.stop(now, msg)
	case ConfirmMsg:
		m.confirm(msg)
	case KeepMsg:
		m.keep(msg)
	case StartedMsg:
		return m.started(now, msg)
	case StoppedMsg:
		return m.stopped(now, msg)
	case PollResultMsg:
		return m.handlePollResult(now, msg)
	case TickMsg:
		return m.tick(now, msg.Delay)
	}
	return nil
}

// OwnedServers returns the sorted IDs of the servers that this host owns or is taking
// over.
func (m *Model) OwnedServers() []string {
	ids := make([]string, 0, len(m.servers))
	for id, s := range m.servers {
		if s.owned() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// OwnsAny reports whether this host owns or is taking over any server.
func (m *Model) OwnsAny() bool {
	for _, s := range m.servers {
		if s.owned() {
			return true
		}
	}
	return false
}

// owned reports whether this host owns the server or is taking it over.
func (s *server) owned() bool { return s.phase != probing && s.phase != fenced }

// sortedServers returns the servers in a fixed order, which makes decisions
// reproducible. Callers may remove servers while they iterate over it.
func (m *Model) sortedServers() []*server {
	if m.sorted == nil {
		m.sorted = make([]*server, 0, len(m.servers))
		for _, s := range m.servers {
			m.sorted = append(m.sorted, s)
		}
		slices.SortFunc(m.sorted, func(a, b *server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	return m.sorted
}

func (m *Model) add(s *server) {
	m.servers[s.entry.ID] = s
	m.sorted = nil
}

func (m *Model) remove(s *server) {
	m.forgetSpeed(s)
	delete(m.servers, s.entry.ID)
	m.sorted = nil
}

// assign takes over servers that are new in the list and releases those that are
// no longer in it.
func (m *Model) assign(now time.Time, msg AssignMsg) []Cmd {
	m.maxToken = max(m.maxToken, msg.Token)
	wanted := map[string]bool{}
	var cmds []Cmd
	for _, entry := range msg.Servers {
		wanted[entry.ID] = true
		cmds = append(cmds, m.acquire(now, entry)...)
	}
	for _, s := range m.sortedServers() {
		if !wanted[s.entry.ID] {
			s.releasing = true
			cmds = append(cmds, m.releaseIfEmpty(now, s)...)
		}
	}
	return append(cmds, CapacityChangedCmd{})
}

// acquire starts the takeover of a server, or updates one that this host already
// owns or is taking over.
func (m *Model) acquire(now time.Time, entry listing.Server) []Cmd {
	s := m.servers[entry.ID]
	if s != nil {
		again := s.entry.StartedAtMillis != entry.StartedAtMillis && entry.StartedAtMillis > s.born
		known := s.born != 0
		if again {
			s.planned = s.entry.Draining
		}
		if entry.Address != s.entry.Address {
			s.movedAt = now
		}
		if !slices.Equal(s.entry.Labels, entry.Labels) || s.entry.Capacity != entry.Capacity {
			m.forgetSpeed(s)
		}
		s.entry, s.releasing = entry, false
		if again && known {
			return m.doubt(now, s, fmt.Sprintf("by its entry, born %d, %d before", entry.StartedAtMillis, s.born))
		}
		if again {
			s.born = entry.StartedAtMillis
		}
		return nil
	}
	if at, ok := m.fencedAt[entry.ID]; ok && now.Sub(at) < m.limits.RetakeDelay {
		return nil
	}
	delete(m.fencedAt, entry.ID)
	if entry.Draining {
		return nil
	}
	s = newServer(entry, m.maxToken, m.limits)
	if entry.Domain != m.domain {
		s.phase = probing
	}
	m.add(s)
	cmds := []Cmd{LogCmd{
		Server: entry.ID,
		Event:  "takeover",
		Detail: fmt.Sprintf("token %d", s.token),
	}}
	return append(cmds, m.poll(now, s)...)
}

// releaseIfEmpty removes a server that is being released, was fenced or replaced, once it
// has no runs left.
func (m *Model) releaseIfEmpty(now time.Time, s *server) []Cmd {
	if !(s.releasing || s.replaced || s.phase == fenced) || len(s.runs) > 0 || m.servers[s.entry.ID] != s {
		return nil
	}
	m.recordOrphanLeases(now, s)
	m.remove(s)
	if s.replaced {
		m.fencedAt[s.entry.ID] = now
		return nil
	}
	if s.phase == fenced {
		return nil
	}
	return []Cmd{LogCmd{
		Server: s.entry.ID,
		Event:  "released",
	}}
}

// recordOrphanLeases records when the unknown runs at a server that is removed have ended, even
// if it does not answer any more: their leases are over on the slowest clock allowed, and they
// have had the time to stop.
func (m *Model) recordOrphanLeases(now time.Time, s *server) {
	maps.DeleteFunc(m.orphanLeases, func(_ string, over time.Time) bool { return !now.Before(over) })
	over := now.Add(time.Duration(float64(m.maxLease()+m.limits.StopTimeout) / minClockRate))
	for _, o := range s.orphans {
		m.orphanLeases[o.Name] = over
	}
}

// restarted handles a new process of a server under the same ID. It has seen no token, and
// its clock may read less, so orders to the earlier process that are late may still be
// carried out there. They carry a lower token than all orders from now on, so the first lists
// that the new process returns show which runs it has, and that it won't start the others.
func (m *Model) restarted(now time.Time, s *server, born int64, detail string) []Cmd {
	cmds := m.crash(now, s, ProofBorn)
	s.born, s.restartedAt, s.doubtedAt = born, now, time.Time{}
	s.orphans, s.lastEnd = nil, 0
	m.forgetSpeed(s)
	if !s.clockAt.IsZero() {
		s.clockLost = true
		s.maxDeadline = max(s.maxDeadline, s.estimateClock(now)+m.maxLease().Milliseconds())
	}
	cmds = append(cmds, m.reclaim(now, s)...)
	return append(cmds, LogCmd{
		Server: s.entry.ID,
		Event:  "restarted",
		Detail: fmt.Sprintf("born %d, token %d, %d runs in doubt, shown %s", born, s.token, len(s.runs), detail),
	}, CapacityChangedCmd{})
}

// reclaim inspects a server under a higher token, as another process may carry out earlier
// orders. It has not confirmed any of the runs yet.
func (m *Model) reclaim(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	if s.phase != probing && s.phase != fenced {
		s.phase = inspecting
	}
	s.tokenNoted = false
	m.raiseToken(now, s)
	for _, r := range s.sortedRuns() {
		r.stoppedBy, r.confirmedAt, r.missing = time.Time{}, time.Time{}, false
		if r.state == stopping {
			cmds = append(cmds, m.stopCmd(now, s, r))
		}
	}
	return cmds
}

// doubt requests the lists of a server whose process may be another one, to decide on it. Until
// they arrive, the server gets no new tasks and its leases aren't extended.
func (m *Model) doubt(now time.Time, s *server, detail string) []Cmd {
	if !s.doubtedAt.IsZero() || !s.owned() {
		return nil
	}
	s.doubtedAt = now
	s.dropPoll()
	cmds := []Cmd{CapacityChangedCmd{}, LogCmd{
		Server: s.entry.ID,
		Event:  "restart suspected",
		Detail: detail,
	}}
	return append(cmds, m.poll(now, s)...)
}

// dropPoll makes the answer to the poll in flight count for nothing.
func (s *server) dropPoll() {
	s.pollInFlight = false
	s.pollSerial++
	s.nextPollAt = time.Time{}
}

// tokenStep is the distance between tokens of one host; those of different hosts differ in
// the lower bits.
const tokenStep = 1 << 11

// raiseToken makes the server reject all orders sent so far, once it has received another
// one. The answer to a poll sent before says nothing about that. The token stays below that
// of a new owner, who draws a current one.
func (m *Model) raiseToken(now time.Time, s *server) {
	s.tokenAt = now
	s.token += tokenStep
	m.maxToken = max(m.maxToken, s.token)
	s.pollInFlight = false
	s.pollSerial++
}

// markFenced drops a server that another host owns now. Its runs may continue, so
// they are reported as unknown. A run whose start is still unanswered stays:
// the answer shows whether the server rejected the start because the other host
// came first.
func (m *Model) markFenced(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		if !r.startPending() {
			cmds = append(cmds, m.endRun(now, s, r, work.EndUnknown, ProofNone, core.ReasonUnknown)...)
		}
	}
	if s.phase == fenced {
		return cmds
	}
	s.phase = fenced
	m.fencedAt[s.entry.ID] = now
	m.maxToken += tokenStep
	cmds = append(cmds, LogCmd{
		Server: s.entry.ID,
		Event:  "fenced off",
		Detail: fmt.Sprintf("token %d", s.token),
	}, CapacityChangedCmd{})
	return append(cmds, m.releaseIfEmpty(now, s)...)
}

// startPending reports whether an answer to a start is still to come, no earlier
// answer was lost and the run is not confirmed.
func (r *run) startPending() bool {
	return r.state == starting && r.pendingStarts > 0 && !r.uncertain && r.confirmedAt.IsZero()
}

func (m *Model) endAllRuns(now time.Time, s *server, end work.End, proof Proof, reason core.Reason) []Cmd {
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		cmds = append(cmds, m.endRun(now, s, r, end, proof, reason)...)
	}
	return cmds
}

// endRun removes a run and notifies its owner.
func (m *Model) endRun(now time.Time, s *server, r *run, end work.End, proof Proof, reason core.Reason) []Cmd {
	name := r.task.Name()
	s.remove(name)
	if m.serverByTask[name] == s.entry.ID {
		delete(m.serverByTask, name)
	}
	took := time.Duration(0)
	if !r.confirmedAt.IsZero() {
		took = now.Sub(r.confirmedAt)
	}
	// The prediction was made for the speed before this run.
	speed := s.speed
	m.recordEnd(now, s, r, end, took)
	cmds := []Cmd{
		EndCmd{
			Owner:  r.owner,
			Task:   r.task,
			End:    end,
			Proof:  proof,
			Server: s.entry.ID,
			Took:   took,
			Speed:  speed,
			Reason: cmp.Or(r.stopReason, reason),
		},
		CapacityChangedCmd{},
	}
	return append(cmds, m.releaseIfEmpty(now, s)...)
}

// recordEnd updates the health, the slowdown and the speed of a server with a run that ended
// there.
func (m *Model) recordEnd(now time.Time, s *server, r *run, end work.End, took time.Duration) {
	switch end {
	case work.EndDone:
		s.health = s.health.WithSuccess()
		if r.task.PredictedTime <= 0 || m.isCold(s) {
			return
		}
		ratio := float64(took) / float64(s.predicted(r))
		m.recordSpeed(now, s, took, r.task.PredictedTime)
		s.slowdown += m.limits.SlowdownWeight * (ratio - s.slowdown)
		if ratio < m.limits.MaxSlowdown {
			s.lastNormalEnd = now
		}
	case work.EndFailed:
		s.health = s.health.WithFailure(now)
	case work.EndStopped, work.EndLeaseExpired, work.EndNotStarted, work.EndUnknown:
		s.health = s.health.WithInconclusive()
	}
}
