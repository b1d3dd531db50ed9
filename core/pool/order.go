package pool

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/work"
)

// run places a task on the best server, or says that none has room.
func (m *Model) run(now time.Time, msg RunMsg) []Cmd {
	name := msg.Task.Name()
	if _, ok := m.where[name]; ok {
		return []Cmd{refuse(msg, core.ReasonRoom)}
	}
	s := m.choose(now, msg.Task)
	if s == nil {
		return []Cmd{refuse(msg, core.ReasonRoom), RoomCmd{}}
	}
	r := &run{
		task:    msg.Task,
		owner:   msg.Owner,
		ordered: now,
	}
	s.add(name, r)
	m.where[name] = s.entry.ID
	s.health = s.health.WithStart(now)
	cmds := []Cmd{m.start(now, s, r), RoomCmd{}}
	return append(cmds, m.hold(now, s)...)
}

func refuse(msg RunMsg, reason core.Reason) EndCmd {
	return EndCmd{
		Owner:  msg.Owner,
		Task:   msg.Task,
		End:    work.EndNever,
		Reason: reason,
	}
}

// choose returns the server that a task fits best, or nil. Servers that ran
// as predicted come first, then those near the data, then the tightest fit,
// which keeps large gaps for large tasks.
func (m *Model) choose(now time.Time, t work.Task) *server {
	var best *server
	var bestRank rank
	for _, s := range m.sorted() {
		if !m.admits(now, s, t) {
			continue
		}
		r := rank{
			slow: s.pace > m.limits.PaceMax || s.health.State(now) == health.Probing || s.entry.ID == t.Avoid,
			far:  t.Affinity != "" && !s.entry.Has(t.Affinity),
			left: s.entry.Capacity.Minus(s.used).CPU - t.Size.CPU,
		}
		if best == nil || r.before(bestRank) {
			best, bestRank = s, r
		}
	}
	return best
}

func (m *Model) admits(now time.Time, s *server, t work.Task) bool {
	if !m.takes(now, s) || !s.entry.Has(t.Requires) {
		return false
	}
	if t.MaxPerServer > 0 && s.countOf(t.Job, t.Step) >= t.MaxPerServer {
		return false
	}
	return t.Size.Fits(s.entry.Capacity.Minus(s.used))
}

// rank orders servers for a task.
type rank struct {
	slow bool
	far  bool
	left int // thousandths of a core that stay free
}

func (r rank) before(o rank) bool {
	if r.slow != o.slow {
		return o.slow
	}
	if r.far != o.far {
		return o.far
	}
	return r.left < o.left
}

// start orders a run, for the first time or again.
func (m *Model) start(now time.Time, s *server, r *run) Cmd {
	r.sends++
	r.open++
	r.sent = now
	r.deadline = s.grant(now, m.limits.Lease)
	return StartCmd{
		Server:   s.entry.ID,
		Address:  s.entry.Address,
		Task:     r.task,
		Token:    s.token,
		Deadline: r.deadline,
	}
}

// stop ends one run, or all runs of an owner.
func (m *Model) stop(now time.Time, msg StopMsg) []Cmd {
	var cmds []Cmd
	if msg.Name != "" {
		s := m.servers[m.where[msg.Name]]
		if s == nil || s.runs[msg.Name] == nil || s.runs[msg.Name].owner != msg.Owner {
			return nil
		}
		return m.stopRun(now, s, s.runs[msg.Name], core.ReasonCanceled)
	}
	for _, s := range m.sorted() {
		for _, r := range s.ordered() {
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
	if s.phase == lost {
		return m.end(now, s, r, work.EndUnknown, reason)
	}
	r.state, r.sends, r.reason = stopping, 0, reason
	return append([]Cmd{m.orderStop(now, s, r)}, m.hold(now, s)...)
}

func (m *Model) orderStop(now time.Time, s *server, r *run) Cmd {
	r.sends++
	r.sent = now
	return StopCmd{
		Server:  s.entry.ID,
		Address: s.entry.Address,
		Name:    r.task.Name(),
		Run:     r.task.Run,
		Token:   s.token,
	}
}

// find returns the run that an answer is about.
func (m *Model) find(server, name string, number int) (*server, *run) {
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
	s, r := m.find(msg.Server, msg.Name, msg.Run)
	if s == nil {
		return nil
	}
	if answered(msg.Result) {
		m.heardOf(s, true)
		s.listen(now, msg.Clock)
	}
	if r == nil {
		return nil
	}
	r.open--
	if msg.Result == Fenced || s.phase == lost {
		return m.startedLost(now, s, r, msg)
	}
	if r.state != starting {
		return m.startedLate(now, s, r, msg)
	}
	if r.open > 0 && rejects(msg.Result) {
		// The other order may have been carried out; its answer decides.
		return nil
	}
	switch msg.Result {
	case Accepted:
		r.state, r.confirmed, r.listed = running, now, now
		return m.hold(now, s)
	case Replaced:
		return m.replaced(now, s)
	case StaleRun:
		return m.old(now, s, r)
	case DeadlinePassed:
		return []Cmd{m.start(now, s, r)}
	case Full, Busy, Invalid:
		return m.rejected(now, s, r, msg.Result)
	case NotSent, Unanswered:
		return m.unanswered(now, s, r, msg.Result)
	case Fenced:
	}
	return nil
}

// startedLost takes the answer to a start at a server that another host took. All
// orders for the run carried the same token, so a run was never started if the
// server ignored the last of them and every one was answered.
func (m *Model) startedLost(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	ignored := msg.Result == Fenced || rejects(msg.Result) || msg.Result == NotSent
	switch {
	case !ignored:
		r.unclear = true
	case r.open > 0 || r.unclear || !r.confirmed.IsZero() || r.state != starting:
	default:
		return append(m.end(now, s, r, work.EndNever, core.ReasonBusy), m.lose(now, s)...)
	}
	return m.lose(now, s)
}

// startedLate takes the answer to a start whose stop was ordered meanwhile.
func (m *Model) startedLate(now time.Time, s *server, r *run, msg StartedMsg) []Cmd {
	switch msg.Result {
	case Accepted:
		if r.confirmed.IsZero() {
			r.confirmed = now
		}
	case Replaced:
		return m.replaced(now, s)
	case Full, Busy, Invalid:
		if r.open == 0 && !r.unclear && r.confirmed.IsZero() {
			return m.end(now, s, r, work.EndNever, core.ReasonBusy)
		}
	case StaleRun, DeadlinePassed, NotSent, Fenced:
	case Unanswered:
		r.unclear = r.unclear || r.confirmed.IsZero()
	}
	return nil
}

// answered reports whether a server itself gave the result.
func answered(r Result) bool { return r != NotSent && r != Unanswered && r != Replaced }

// rejects reports whether a server did nothing for an order.
func rejects(r Result) bool { return r == StaleRun || r == Full || r == Busy || r == Invalid }

// old takes the answer that the run's number is too low there: the run has
// ended unseen, or an earlier life of the same job used the number.
func (m *Model) old(now time.Time, s *server, r *run) []Cmd {
	if r.unclear {
		// It is not there now and never will be; the lists tell whether it ended.
		r.stopped, r.sent = true, now
		return m.hold(now, s)
	}
	r.task.Run++
	return []Cmd{m.start(now, s, r)}
}

func (m *Model) rejected(now time.Time, s *server, r *run, result Result) []Cmd {
	if r.unclear {
		// An earlier order may have been carried out; the lists tell.
		return m.hold(now, s)
	}
	reason := core.ReasonRoom
	if result != Full {
		reason = core.ReasonBusy
		s.health = s.health.WithFailure(now)
	}
	cmds := m.end(now, s, r, work.EndNever, reason)
	if result == Full {
		// Something runs there that this host doesn't know of.
		s.phase = looking
	}
	return append(cmds, m.hold(now, s)...)
}

// replaced drops a server whose address now belongs to another one.
func (m *Model) replaced(now time.Time, s *server) []Cmd {
	cmds := m.endAll(now, s, work.EndLeaseExpired, core.ReasonLapsed)
	m.remove(s)
	m.fenced[s.entry.ID] = now
	return append(cmds, NoteCmd{
		Server: s.entry.ID,
		Event:  "replaced",
	}, RoomCmd{})
}

// unanswered sends a start again, which is idempotent, or gives it up.
func (m *Model) unanswered(now time.Time, s *server, r *run, result Result) []Cmd {
	if result == Unanswered {
		r.unclear = true
	}
	m.heardOf(s, false)
	if r.open > 0 {
		return nil
	}
	if result == NotSent && !r.unclear {
		cmds := m.end(now, s, r, work.EndNever, core.ReasonConnect)
		return append(append(cmds, RoomCmd{}), m.hold(now, s)...)
	}
	if now.Sub(r.ordered) >= m.limits.Give {
		return append(m.stopRun(now, s, r, core.ReasonReset), RoomCmd{})
	}
	return []Cmd{m.start(now, s, r), RoomCmd{}}
}

func (m *Model) stopped(now time.Time, msg StoppedMsg) []Cmd {
	s, r := m.find(msg.Server, msg.Name, msg.Run)
	if s == nil {
		return nil
	}
	if answered(msg.Result) {
		s.listen(now, msg.Clock)
	}
	switch msg.Result {
	case Fenced:
		return m.lose(now, s)
	case Replaced:
		return m.replaced(now, s)
	case Accepted:
		if r != nil {
			r.stopped = true
		}
		return m.hold(now, s)
	case StaleRun, DeadlinePassed, Full, Busy, Invalid:
	case NotSent, Unanswered:
		m.heardOf(s, false)
		return []Cmd{RoomCmd{}}
	}
	return nil
}
