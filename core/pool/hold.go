package pool

import (
	"fmt"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// hold asks a server for its lists, unless that is under way or needless.
func (m *Model) hold(now time.Time, s *server) []Cmd {
	if s.holding || now.Before(s.nextAt) || s.phase == lost || m.servers[s.entry.ID] != s {
		return nil
	}
	if s.phase == ready && len(s.runs) == 0 && s.misses == 0 {
		return nil
	}
	s.serial++
	s.holding = true
	cmd := HoldCmd{
		Server:  s.entry.ID,
		Address: s.entry.Address,
		Serial:  s.serial,
		Token:   s.token,
		Seen:    s.seen,
	}
	switch s.phase {
	case peeking:
		cmd.Token = 0
	case looking:
	case clearing:
		cmd.Wait = m.limits.Quick
	case ready:
		cmd.Wait = m.wait(s)
	}
	// A look without runs of this host extends nothing that may have to expire.
	if len(s.runs) > 0 {
		cmd.Deadline = s.grant(now, m.limits.Lease)
	}
	return []Cmd{cmd}
}

// wait returns how long the next hold waits for an end.
func (m *Model) wait(s *server) time.Duration {
	if s.misses > 0 {
		return 0
	}
	if m.loss >= lossHigh {
		return m.limits.Quick
	}
	for _, r := range s.ordered() {
		if r.state != running || r.unclear {
			return m.limits.Quick
		}
	}
	return m.limits.PollWait
}

func (m *Model) held(now time.Time, msg HeldMsg) []Cmd {
	s := m.servers[msg.Server]
	if s == nil || msg.Serial != s.serial {
		return nil
	}
	s.holding = false
	if s.phase == lost {
		return nil
	}
	if s.phase == peeking {
		return m.peeked(now, s, msg)
	}
	switch msg.Result {
	case Accepted:
		return m.lists(now, s, msg)
	case Fenced:
		return m.lose(now, s)
	case Replaced:
		return m.replaced(now, s)
	case Old, Late, Full, Busy, Invalid, Unsent, Unanswered:
	}
	m.heardOf(s, false)
	s.nextAt = now
	if s.misses > 1 {
		s.nextAt = now.Add(m.limits.Quick)
	}
	if s.misses > missesBeforeProbes {
		s.nextAt = now.Add(m.limits.Probe)
	}
	return []Cmd{RoomCmd{}}
}

// peeked takes the answer to a look without a token. It proves that a server of
// another failure domain can be reached and disturbs nobody. Hosts of that
// domain that live are heard before the takeover goes on, as a partition that
// heals lets both through.
func (m *Model) peeked(now time.Time, s *server, msg HeldMsg) []Cmd {
	switch msg.Result {
	case Accepted, Fenced:
		s.phase = looking
		s.nextAt = now.Add(m.limits.Confirm)
	case Replaced:
		return m.replaced(now, s)
	case Old, Late, Full, Busy, Invalid, Unsent, Unanswered:
		s.nextAt = now.Add(m.limits.Probe)
	}
	return nil
}

// missesBeforeProbes is how many calls in a row may go unanswered before a
// server is only looked at now and then.
const missesBeforeProbes = 8

// lists takes a server's lists.
func (m *Model) lists(now time.Time, s *server, msg HeldMsg) []Cmd {
	var cmds []Cmd
	if msg.Born != 0 && s.entry.StartedAtMillis != 0 && msg.Born != s.entry.StartedAtMillis {
		cmds = append(cmds, m.reborn(now, s, msg.Born)...)
	}
	if msg.Born != 0 {
		s.entry.StartedAtMillis = msg.Born
	}
	missed := s.misses > 0
	m.heardOf(s, true)
	s.listen(now, msg.Clock)
	if missed {
		cmds = append(cmds, RoomCmd{})
	}
	for _, e := range msg.Ended {
		cmds = append(cmds, m.ended(now, s, e)...)
	}
	listed := m.progress(now, s, msg)
	cmds = append(cmds, m.absent(now, s, msg, listed)...)
	cmds = append(cmds, m.clear(s, msg)...)
	cmds = append(cmds, m.watch(now, s)...)
	if m.servers[s.entry.ID] != s {
		return cmds
	}
	return append(cmds, m.hold(now, s)...)
}

func (m *Model) ended(now time.Time, s *server, e Ended) []Cmd {
	if e.Number <= s.seen {
		return nil
	}
	s.seen = e.Number
	r := s.runs[e.Name]
	if r == nil || r.task.Run != e.Run {
		return nil
	}
	return m.end(now, s, r, e.End, "")
}

// progress notes what runs, and collects the runs that this host doesn't know.
func (m *Model) progress(now time.Time, s *server, msg HeldMsg) map[string]bool {
	listed := map[string]bool{}
	s.orphans = nil
	for _, l := range msg.Running {
		r := s.runs[l.Name]
		if r == nil || r.task.Run != l.Run {
			s.orphans = append(s.orphans, l)
			continue
		}
		listed[l.Name] = true
		r.percent, r.listed, r.unclear = l.Percent, now, false
		if r.confirmed.IsZero() {
			r.confirmed = now
		}
		if r.state == starting {
			r.state = running
		}
	}
	return listed
}

// absent ends runs that the lists prove not to be there.
func (m *Model) absent(now time.Time, s *server, msg HeldMsg, listed map[string]bool) []Cmd {
	var cmds []Cmd
	for _, r := range s.ordered() {
		if listed[r.task.Name()] {
			continue
		}
		switch {
		case !r.confirmed.IsZero():
			if msg.Sent.After(r.confirmed) {
				cmds = append(cmds, m.end(now, s, r, work.EndLapsed, core.ReasonLapsed)...)
			}
		case r.stopped && msg.Sent.After(r.sent):
			cmds = append(cmds, m.end(now, s, r, work.EndNever, core.ReasonCanceled)...)
		case msg.Clock > r.deadline && r.unclear && msg.Sent.After(r.sent):
			cmds = append(cmds, m.end(now, s, r, work.EndNever, core.ReasonReset)...)
		}
	}
	return cmds
}

// clear stops the runs of an earlier owner, and opens the server for work once
// there are none.
func (m *Model) clear(s *server, msg HeldMsg) []Cmd {
	if len(s.orphans) == 0 {
		if s.phase == ready {
			return nil
		}
		s.phase = ready
		return []Cmd{RoomCmd{}, NoteCmd{
			Server: s.entry.ID,
			Event:  "held",
			Detail: fmt.Sprintf("token %d, clock %d", s.token, msg.Clock),
		}}
	}
	cmds := []Cmd{NoteCmd{
		Server: s.entry.ID,
		Event:  "unknown runs stopped",
		Detail: fmt.Sprintf("%d, first %s", len(s.orphans), s.orphans[0].Name),
	}, RoomCmd{}}
	s.phase = clearing
	for _, o := range s.orphans {
		cmds = append(cmds, StopCmd{
			Server:  s.entry.ID,
			Address: s.entry.Address,
			Name:    o.Name,
			Run:     o.Run,
			Token:   s.token,
		})
	}
	return cmds
}

// watch stops runs that would take far longer than elsewhere.
func (m *Model) watch(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	for _, r := range s.ordered() {
		total, stalled := m.stalled(now, s, r)
		if !stalled {
			continue
		}
		predicted := r.task.Expect
		s.pace = max(s.pace, m.limits.Slow)
		if r.percent == 0 {
			s.health = s.health.WithFailure(now)
		} else {
			// If the task itself is long, the next server is not to blame.
			r.task.Expect = total
		}
		cmds = append(cmds, NoteCmd{
			Server: s.entry.ID,
			Event:  "slow run",
			Detail: fmt.Sprintf("%s at %d %% after %s, predicted %s", r.task.Name(), r.percent, now.Sub(r.confirmed), predicted),
		})
		cmds = append(cmds, m.stopRun(now, s, r, core.ReasonSlow)...)
	}
	return cmds
}

// percentDone is the share of a finished task.
const percentDone = 100

// stalled reports whether a run would end sooner when started anew elsewhere,
// and how long it takes here in all. A run on a server that ended another one
// in its usual time meanwhile is a long task, not one on a slow server.
func (m *Model) stalled(now time.Time, s *server, r *run) (total time.Duration, stalled bool) {
	if r.state != running || r.task.Expect <= 0 {
		return 0, false
	}
	elapsed := now.Sub(r.confirmed)
	if elapsed < m.limits.Margin+r.task.Expect/2 {
		return 0, false
	}
	total = elapsed * percentDone / time.Duration(max(r.percent, 1))
	if r.percent > 0 && s.normal.After(r.confirmed) {
		return total, false
	}
	return total, float64(total) > m.limits.Slow*float64(r.task.Expect) && total-elapsed > 2*r.task.Expect
}

// tick repeats what got no answer and ends what must have expired.
func (m *Model) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for _, s := range m.sorted() {
		if s.phase == lost {
			continue
		}
		if s.misses > 0 && len(s.runs) > 0 && s.expired(now) {
			cmds = append(cmds, m.endAll(now, s, work.EndLapsed, core.ReasonLapsed)...)
		}
		for _, r := range s.ordered() {
			if r.state == starting && r.sends == 1 && r.open == 1 && now.Sub(r.sent) >= m.limits.Hedge {
				cmds = append(cmds, m.start(now, s, r))
			}
			if r.state == stopping && !r.stopped && now.Sub(r.sent) >= m.limits.Answer {
				cmds = append(cmds, m.orderStop(now, s, r))
			}
		}
		cmds = append(cmds, m.hold(now, s)...)
		if s.releasing {
			cmds = append(cmds, m.release(now, s)...)
		}
	}
	return cmds
}
