package pool

import (
	"fmt"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/work"
)

// run places a task on the best server, or refuses it if none has the capacity.
func (m *Model) run(now time.Time, msg RunMsg) []Cmd {
	name := msg.Task.Name()
	if _, ok := m.serverByTask[name]; ok || m.hasOrphan(now, name) {
		return []Cmd{refuse(msg, core.ReasonCapacity)}
	}
	if m.stopDue(now, msg.Task.ConfirmedAt) {
		return []Cmd{refuse(msg, core.ReasonUnconfirmed)}
	}
	s, reason := m.chooseServer(now, msg.Task)
	if s == nil {
		cmds := []Cmd{refuse(msg, reason), CapacityChangedCmd{}}
		if reason == core.ReasonUnconfirmed {
			cmds = append(cmds, m.renewClocks(now)...)
		}
		return cmds
	}
	r := &run{
		task:      msg.Task,
		owner:     msg.Owner,
		firstSent: now,
	}
	if len(s.runs) == 0 && s.misses == 0 {
		s.nextPollAt = time.Time{}
	}
	s.add(name, r)
	m.serverByTask[name] = s.entry.ID
	s.health = s.health.WithStart(now)
	cmds := append([]Cmd{CapacityChangedCmd{}}, m.sendStart(now, s, r)...)
	return append(cmds, m.poll(now, s)...)
}

// renewClocks polls the servers whose clock was read too long ago.
func (m *Model) renewClocks(now time.Time) []Cmd {
	var cmds []Cmd
	for _, s := range m.sortedServers() {
		cmds = append(cmds, m.poll(now, s)...)
	}
	return cmds
}

// hasOrphan reports whether a server listed an unknown run of the task, which is being
// stopped and whose lease may not have expired.
func (m *Model) hasOrphan(now time.Time, name string) bool {
	for _, s := range m.sortedServers() {
		if len(s.orphans) == 0 || m.leasesExpired(now, s) {
			continue
		}
		for _, o := range s.orphans {
			if o.Name == name {
				return true
			}
		}
	}
	return now.Before(m.orphanLeases[name])
}

func refuse(msg RunMsg, reason core.Reason) EndCmd {
	return EndCmd{
		Owner:  msg.Owner,
		Task:   msg.Task,
		End:    work.EndNotStarted,
		Proof:  ProofRejected,
		Reason: reason,
	}
}

// chooseServer returns the best server for a task, or nil and the reason. Servers of normal
// speed come first, then those close to the data, then the tightest fit, which
// keeps large gaps free for large tasks.
func (m *Model) chooseServer(now time.Time, t work.Task) (*server, core.Reason) {
	var best *server
	var bestRank rank
	reason := core.ReasonCapacity
	for _, s := range m.sortedServers() {
		if !m.admits(now, s, t) {
			continue
		}
		r := rank{
			slow:     s.slowdown > m.limits.MaxSlowdown || s.health.State(now) == health.Probing || s.entry.ID == t.AvoidServer,
			remote:   t.Affinity != "" && !s.entry.HasLabel(t.Affinity),
			company:  (t.Suspect && len(s.runs) > 0) || (!t.Suspect && s.suspects > 0),
			spareCPU: s.entry.Capacity.Sub(s.used).CPU - t.Size.CPU,
		}
		if best != nil && !r.before(bestRank) {
			continue
		}
		if !m.endsInTime(now, s, t.ConfirmedAt) {
			reason = core.ReasonUnconfirmed
			continue
		}
		best, bestRank = s, r
	}
	return best, reason
}

func (m *Model) admits(now time.Time, s *server, t work.Task) bool {
	if !m.acceptsWork(now, s) || !s.entry.HasLabel(t.Requires) {
		return false
	}
	if t.Suspect && s.suspects > 0 {
		return false
	}
	if t.MaxPerServer > 0 && s.countRuns(t.Job, t.Step) >= t.MaxPerServer {
		return false
	}
	return t.Size.Fits(s.entry.Capacity.Sub(s.used))
}

// rank is the sort key of servers for a task; the lowest is the best.
type rank struct {
	company  bool // a suspected task and another one would share the server
	slow     bool
	remote   bool
	spareCPU int // thousandths of a core that would stay free
}

func (r rank) before(o rank) bool {
	if r.company != o.company {
		return o.company
	}
	if r.slow != o.slow {
		return o.slow
	}
	if r.remote != o.remote {
		return o.remote
	}
	return r.spareCPU < o.spareCPU
}

// sendStart orders the start of a run, for the first time or as a repetition. If no
// deadline is possible any more, it ends the run, or stops it if an earlier order may
// have been carried out.
func (m *Model) sendStart(now time.Time, s *server, r *run) []Cmd {
	if s.entry.Evacuated {
		return m.withholdStart(now, s, r)
	}
	deadline := m.newDeadline(now, s)
	if deadline == 0 && (r.uncertain || r.pendingStarts > 0) {
		return m.stopRun(now, s, r, core.ReasonUnconfirmed)
	}
	if deadline == 0 {
		return m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonUnconfirmed)
	}
	r.sends++
	r.pendingStarts++
	r.lastSent = now
	r.deadline = max(r.deadline, deadline)
	r.missing, r.postponed = false, false
	r.token = s.token
	return []Cmd{StartCmd{
		Server:   s.entry.ID,
		Address:  s.entry.Address,
		Task:     r.task,
		Owner:    r.owner,
		Repeated: r.sends > 1,
		Sent:     now,
		Born:     s.born,
		Token:    s.token,
		Deadline: deadline,
	}}
}

// withholdStart handles a start that would be repeated on a server whose failure domain is
// evacuated: the repetition might be the one that starts the task. If an earlier order may have
// been carried out, its answer or the lists decide.
func (m *Model) withholdStart(now time.Time, s *server, r *run) []Cmd {
	switch {
	case r.neverStarted():
		return m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonEvacuated)
	case r.pendingStarts > 0:
		return nil
	}
	r.uncertain = true
	return m.poll(now, s)
}

// confirm records that the callers of an owner's jobs were waiting. It does not prolong
// runs that are being stopped.
func (m *Model) confirm(msg ConfirmMsg) {
	for _, s := range m.sortedServers() {
		for _, r := range s.sortedRuns() {
			if r.owner == msg.Owner && (msg.Job == "" || r.task.Job == msg.Job) &&
				r.state != stopping && msg.At.After(r.task.ConfirmedAt) {
				r.task.ConfirmedAt = msg.At
			}
		}
	}
}

// stop stops one run, or all runs of an owner.
func (m *Model) stop(now time.Time, msg StopMsg) []Cmd {
	var cmds []Cmd
	if msg.Name != "" {
		s := m.servers[m.serverByTask[msg.Name]]
		if s == nil || s.runs[msg.Name] == nil || s.runs[msg.Name].owner != msg.Owner {
			return nil
		}
		return m.stopRun(now, s, s.runs[msg.Name], core.ReasonCanceled)
	}
	for _, s := range m.sortedServers() {
		for _, r := range s.sortedRuns() {
			if r.owner == msg.Owner {
				cmds = append(cmds, m.stopRun(now, s, r, core.ReasonCanceled)...)
			}
		}
	}
	return cmds
}

func (m *Model) stopRun(now time.Time, s *server, r *run, reason core.Reason) []Cmd {
	if r.state == stopping {
		return nil
	}
	if s.phase == fenced {
		return m.endRun(now, s, r, work.EndUnknown, ProofNone, reason)
	}
	r.state, r.sends, r.stopReason, r.stoppingSince = stopping, 0, reason, now
	cmds := []Cmd{m.stopCmd(now, s, r)}
	if reason != core.ReasonSlow {
		cmds = append(cmds, LogCmd{
			Server: s.entry.ID,
			Event:  "run stopped",
			Detail: fmt.Sprintf("%s run %d, %s", r.task.Name(), r.task.Run, reason),
		})
	}
	return append(cmds, m.poll(now, s)...)
}

func (m *Model) stopCmd(now time.Time, s *server, r *run) Cmd {
	r.sends++
	r.lastSent = now
	return StopCmd{
		Server:  s.entry.ID,
		Address: s.entry.Address,
		Name:    r.task.Name(),
		Run:     r.task.Run,
		Sent:    now,
		Token:   s.token,
	}
}

// stopMargin is how much longer than by its clock a server may take to stop a run, as a factor:
// its timers may be late.
const stopMargin = 2

// stoppedBy returns the time by which a run has stopped if its server answers a stop order now.
func (m *Model) stoppedBy(now time.Time) time.Time {
	return now.Add(stopMargin * m.limits.StopTimeout)
}

// stopAccepted records that the current process of a server has accepted a stop order.
func (m *Model) stopAccepted(now time.Time, s *server, msg StoppedMsg) {
	if r := s.runs[msg.Name]; r != nil && r.task.Run == msg.Run && r.stoppedBy.IsZero() {
		r.stoppedBy = m.stoppedBy(now)
	}
	for _, o := range s.orphans {
		if o.Name == msg.Name && o.Run == msg.Run && o.stoppedBy.IsZero() {
			o.stoppedBy = m.stoppedBy(now)
		}
	}
}

// findRun returns the server and the run that an answer refers to, or nil for
// what is no longer known.
func (m *Model) findRun(server, name string, number int) (*server, *run) {
	s := m.servers[server]
	if s == nil {
		return nil, nil
	}
	r := s.runs[name]
	if r == nil || r.task.Run != number {
		return s, nil
	}
	return s, r
}

func (m *Model) started(now time.Time, msg StartedMsg) []Cmd {
	s, r := m.findRun(msg.Server, msg.Name, msg.Run)
	if s == nil {
		return nil
	}
	var cmds []Cmd
	if answeredByServer(msg.Result) {
		m.recordCall(s, true)
		cmds = m.answered(now, s, r, msg.Sent, msg.Clock)
	}
	if r == nil {
		return cmds
	}
	return append(cmds, m.startAnswered(now, s, r, msg)...)
}

func (m *Model) startAnswered(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	if msg.Result == Replaced && s.orderMisdirected(msg.Sent) {
		msg.Result = NotSent
	}
	r.pendingStarts--
	if msg.Result == Unanswered {
		r.lost, s.unansweredAt = true, now
	}
	inDoubt := r.inDoubt(s)
	if s.phase == fenced || msg.Result == Fenced && !inDoubt {
		return m.startedAfterFencing(now, s, r, msg)
	}
	if inDoubt && msg.Result != Replaced {
		return m.answeredInDoubt(now, s, r, msg)
	}
	if r.state != starting {
		return m.startedWhileStopping(now, s, r, msg)
	}
	if r.pendingStarts > 0 && rejects(msg.Result) {
		// The parallel start may have been carried out; its answer decides.
		return nil
	}
	switch msg.Result {
	case Accepted:
		r.state, r.confirmedAt, r.listedAt = running, now, now
		return m.poll(now, s)
	case Replaced:
		return m.replaced(now, s)
	case StaleRun:
		return m.staleRunNumber(now, s, r)
	case DeadlinePassed:
		return m.tooLate(now, s, r)
	case Full, Busy, Invalid:
		return m.rejected(now, s, r, msg.Result)
	case NotSent, Unanswered:
		return m.unanswered(now, s, r, msg)
	case Fenced:
	}
	return nil
}

// answered records that the server answered an order for a run. Without a run, or to an
// order sent before a restart was noticed, the answer may come from an earlier process, whose
// clock says nothing about the current one. An answer without a body has no clock.
func (m *Model) answered(now time.Time, s *server, r *run, sent time.Time, clock int64) []Cmd {
	s.misses = 0
	if r == nil || clock == 0 || sent.Before(s.restartedAt) && !sent.IsZero() {
		return nil
	}
	if s.clockUnexpected(now, sent, clock) {
		return m.doubt(now, s, s.describeClock(now, sent, clock))
	}
	if s.doubtedAt.IsZero() {
		s.updateClock(now, sent, clock, m.maxLease())
	}
	return nil
}

// ordersAnswered reports whether no start order of the run can be carried out any more.
func (r *run) ordersAnswered() bool { return !r.lost && r.pendingStarts == 0 }

// neverStarted reports whether all start orders of the run were answered and none was accepted.
func (r *run) neverStarted() bool {
	return r.state == starting && r.confirmedAt.IsZero() && r.ordersAnswered()
}

// inDoubt reports whether the run was ordered before a restart of its server was noticed.
// The lists decide on it.
func (r *run) inDoubt(s *server) bool { return r.token < s.token }

// answeredInDoubt handles the answer to a start that was ordered before a restart of the
// server was noticed.
func (m *Model) answeredInDoubt(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	switch msg.Result {
	case Accepted:
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
		if r.state == starting {
			r.state, r.listedAt = running, now
		}
	case NotSent, Unanswered:
		m.recordUnanswered(s, msg.Late)
		if r.neverStarted() {
			return append(m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonConnect), m.poll(now, s)...)
		}
	case Fenced, StaleRun, DeadlinePassed, Full, Busy, Invalid, Replaced:
	}
	return m.poll(now, s)
}

// startedAfterFencing handles the answer to a start at a server that another host
// took over. All start orders of a run carry the same token, so the run never
// started if every order was answered and the server rejected the last one.
func (m *Model) startedAfterFencing(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	notExecuted := msg.Result == Fenced || rejects(msg.Result) || msg.Result == NotSent
	switch {
	case !notExecuted:
		r.uncertain = true
	case r.pendingStarts > 0 || r.uncertain || !r.confirmedAt.IsZero() || r.state != starting:
	default:
		return append(m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonBusy), m.markFenced(now, s)...)
	}
	return m.markFenced(now, s)
}

// startedWhileStopping handles the answer to a start of a run that is already
// being stopped.
func (m *Model) startedWhileStopping(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	switch msg.Result {
	case Accepted:
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
	case Replaced:
		return m.replaced(now, s)
	case Full, Busy, Invalid:
		if r.pendingStarts == 0 && !r.uncertain && r.confirmedAt.IsZero() {
			return m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonBusy)
		}
	case StaleRun, DeadlinePassed, NotSent, Fenced:
	case Unanswered:
		r.uncertain = r.uncertain || r.confirmedAt.IsZero()
	}
	return nil
}

// answeredByServer reports whether the result comes from the server itself.
func answeredByServer(r Result) bool { return r != NotSent && r != Unanswered && r != Replaced }

// rejects reports whether the server answered without carrying out the order.
func rejects(r Result) bool { return r == StaleRun || r == Full || r == Busy || r == Invalid }

// staleRunNumber handles a start that was rejected because its run number is too
// low: either the run ended without this host noticing, or an earlier execution
// of the same job used the number.
func (m *Model) staleRunNumber(now time.Time, s *server, r *run) []Cmd {
	if r.uncertain {
		// The server will not start this run any more; its lists show whether it ended.
		r.stoppedBy = m.stoppedBy(now)
		return m.poll(now, s)
	}
	r.task.Run++
	return m.sendStart(now, s, r)
}

// tooLate repeats a start that arrived after its deadline, or abandons it after the time limit.
func (m *Model) tooLate(now time.Time, s *server, r *run) []Cmd {
	if now.Sub(r.firstSent) < m.limits.StartTimeout {
		return m.sendStart(now, s, r)
	}
	if r.uncertain || r.pendingStarts > 0 {
		return m.stopRun(now, s, r, core.ReasonReset)
	}
	return m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonReset)
}

func (m *Model) rejected(now time.Time, s *server, r *run, result Result) []Cmd {
	if r.uncertain {
		// An earlier order may have been carried out; the lists will show it.
		return m.poll(now, s)
	}
	reason := core.ReasonCapacity
	if result != Full {
		reason = core.ReasonBusy
		s.health = s.health.WithFailure(now)
	}
	cmds := m.endRun(now, s, r, work.EndNotStarted, ProofRejected, reason)
	if result == Full {
		// The server has runs that this host does not know.
		s.phase = inspecting
	}
	return append(cmds, m.poll(now, s)...)
}

// replaced drops a server whose address now belongs to another one. A process may come later
// under the server's ID and carry out starts that got no answer, so these stay in doubt.
func (m *Model) replaced(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		if r.neverStarted() {
			cmds = append(cmds, m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonConnect)...)
		}
	}
	cmds = append(cmds, m.crash(now, s, ProofReplaced)...)
	cmds = append(cmds, LogCmd{
		Server: s.entry.ID,
		Event:  "replaced",
		Detail: fmt.Sprintf("%d runs in doubt", len(s.runs)),
	}, CapacityChangedCmd{})
	s.replaced, s.orphans = true, nil
	if len(s.runs) == 0 {
		return append(cmds, m.releaseIfEmpty(now, s)...)
	}
	m.recordCall(s, false)
	s.doubtedAt, s.nextPollAt = now, now.Add(m.limits.ProbeInterval)
	return append(cmds, m.reclaim(now, s)...)
}

// unanswered repeats a start, which is idempotent, or abandons it after the time
// limit.
func (m *Model) unanswered(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	if msg.Result == Unanswered {
		r.uncertain = true
	}
	m.recordUnanswered(s, msg.Late)
	if r.pendingStarts > 0 {
		return nil
	}
	if msg.Result == NotSent && !r.uncertain {
		cmds := m.endRun(now, s, r, work.EndNotStarted, ProofRejected, core.ReasonConnect)
		return append(append(cmds, CapacityChangedCmd{}), m.poll(now, s)...)
	}
	return append(m.repeatStart(now, s, r), CapacityChangedCmd{})
}

// repeatStart orders a start without an answer again, or stops the run after the time limit. It
// waits while another process may answer.
func (m *Model) repeatStart(now time.Time, s *server, r *run) []Cmd {
	if now.Sub(r.firstSent) >= m.limits.StartTimeout {
		return m.stopRun(now, s, r, core.ReasonReset)
	}
	if !s.doubtedAt.IsZero() {
		r.postponed = true
		return nil
	}
	return m.sendStart(now, s, r)
}

func (m *Model) stopped(now time.Time, msg StoppedMsg) []Cmd {
	s, r := m.findRun(msg.Server, msg.Name, msg.Run)
	if s == nil {
		return nil
	}
	var cmds []Cmd
	if answeredByServer(msg.Result) {
		cmds = m.answered(now, s, r, msg.Sent, msg.Clock)
	}
	return append(cmds, m.stopAnswered(now, s, msg)...)
}

func (m *Model) stopAnswered(now time.Time, s *server, msg StoppedMsg) []Cmd {
	switch msg.Result {
	case Fenced:
		if msg.Sent.Before(s.tokenAt) {
			// A later order with a higher token came first.
			return nil
		}
		return m.markFenced(now, s)
	case Replaced:
		if s.orderMisdirected(msg.Sent) {
			m.recordCall(s, false)
			return []Cmd{CapacityChangedCmd{}}
		}
		return m.replaced(now, s)
	case Accepted:
		if msg.Sent.IsZero() || !msg.Sent.Before(s.restartedAt) {
			m.stopAccepted(now, s, msg)
		}
		return m.poll(now, s)
	case StaleRun, DeadlinePassed, Full, Busy, Invalid:
	case NotSent, Unanswered:
		m.recordUnanswered(s, msg.Late)
		return []Cmd{CapacityChangedCmd{}}
	}
	return nil
}
