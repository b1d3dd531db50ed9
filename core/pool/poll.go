package pool

import (
	"fmt"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// poll requests the lists of a server, unless a poll is in flight or there is
// nothing to learn.
func (m *Model) poll(now time.Time, s *server) []Cmd {
	if s.pollInFlight || now.Before(s.nextPollAt) || s.phase == fenced || m.servers[s.entry.ID] != s {
		return nil
	}
	if s.isUpToDate(now) {
		return nil
	}
	s.pollSerial++
	s.pollInFlight, s.polledAddress = true, s.entry.Address
	cmd := PollCmd{
		Server:  s.entry.ID,
		Address: s.entry.Address,
		Serial:  s.pollSerial,
		Token:   s.token,
		LastEnd: s.lastEnd,
	}
	if !s.doubtedAt.IsZero() {
		// Another process would forget its own ends.
		cmd.LastEnd = 0
	}
	switch s.phase {
	case probing:
		cmd.Token = 0
	case inspecting:
	case clearing:
		cmd.Wait = m.limits.ShortPollWait
	case ready:
		cmd.Wait = m.pollWait(s)
	}
	// The lease holds for all runs on the server. It is not extended without runs of
	// this host, or beside runs of others, so that those can expire, nor while the server
	// doesn't answer or accepts no stops: the end of the lease is the only proof then.
	if s.phase == ready && len(s.runs) > 0 && s.misses == 0 && !m.stopOverdue(now, s) {
		cmd.Deadline = m.newDeadline(now, s)
	}
	return []Cmd{cmd}
}

// isUpToDate reports whether the lists of the server would show nothing new.
func (s *server) isUpToDate(now time.Time) bool {
	return s.phase == ready && s.awaitsOnlyStarts() &&
		s.misses == 0 && s.doubtedAt.IsZero() && len(s.losses) == 0 &&
		!s.processExpected() && !s.orderOnItsWay(now) && now.Sub(s.clockAt) < maxClockAge
}

// awaitsOnlyStarts reports whether all runs of the server, if any, wait for the answer to their
// first start order. The answer says whether a run started, and the order extends the lease, so
// the lists are needed only once it is overdue and the order is repeated.
func (s *server) awaitsOnlyStarts() bool {
	return !slices.ContainsFunc(s.sortedRuns(), func(r *run) bool {
		return r.state != starting || r.sends > 1 || r.pendingStarts == 0 || r.uncertain || r.inDoubt(s)
	})
}

// maxClockAge is the age from which the reading of an idle server's clock is renewed, as
// deadlines allow for its drift since then.
const maxClockAge = 5 * time.Second

// pollWait returns how long the server may wait for an end before it answers the
// next poll.
func (m *Model) pollWait(s *server) time.Duration {
	if s.misses > 0 || len(s.runs) == 0 || !s.doubtedAt.IsZero() {
		return 0
	}
	if m.lossRate >= highLossRate {
		return m.limits.ShortPollWait
	}
	for _, r := range s.sortedRuns() {
		if r.state != running || r.uncertain || r.missing {
			return m.limits.ShortPollWait
		}
	}
	return m.limits.PollWait
}

func (m *Model) handlePollResult(now time.Time, msg PollResultMsg) []Cmd {
	s := m.servers[msg.Server]
	if s == nil || msg.Serial != s.pollSerial {
		return nil
	}
	s.pollInFlight = false
	if s.phase == fenced {
		return nil
	}
	if s.phase == probing {
		return m.probed(now, s, msg)
	}
	switch msg.Result {
	case Accepted:
		return m.handleLists(now, s, msg)
	case Fenced:
		return m.markFenced(now, s)
	case Replaced:
		if !s.misdirected(s.polledAddress) {
			return m.replaced(now, s)
		}
	case StaleRun, DeadlinePassed, Full, Busy, Invalid, NotSent, Unanswered:
	}
	m.recordUnanswered(s, msg.Late)
	s.nextPollAt = now
	if s.misses > 1 {
		s.nextPollAt = now.Add(m.limits.ShortPollWait)
	}
	if s.misses > missesBeforeProbing {
		s.nextPollAt = now.Add(m.limits.ProbeInterval)
	}
	return []Cmd{CapacityChangedCmd{}}
}

// probed handles the answer to a poll without a token. Such a request
// tests whether a server of another failure domain is reachable, without
// affecting its owner. The takeover is delayed so that live hosts of that domain
// can be heard first: when a network partition heals, the servers and those hosts
// become reachable together.
func (m *Model) probed(now time.Time, s *server, msg PollResultMsg) []Cmd {
	switch msg.Result {
	case Accepted, Fenced:
		s.phase = inspecting
		s.nextPollAt = now.Add(m.limits.TakeoverDelay)
	case Replaced:
		return m.replaced(now, s)
	case StaleRun, DeadlinePassed, Full, Busy, Invalid, NotSent, Unanswered:
		s.nextPollAt = now.Add(m.limits.ProbeInterval)
	}
	return nil
}

// missesBeforeProbing is the number of consecutive unanswered calls after which a
// server is only polled at the probe interval.
const missesBeforeProbing = 8

// handleLists processes the lists of a server.
func (m *Model) handleLists(now time.Time, s *server, msg PollResultMsg) []Cmd {
	var cmds []Cmd
	again := msg.Born != 0 && s.born != 0 && msg.Born != s.born
	if again {
		cmds = append(cmds, m.restarted(now, s, msg.Born, fmt.Sprintf("by its lists, born %d before", s.born))...)
	}
	if msg.Born != 0 {
		s.born = msg.Born
	}
	s.doubtedAt, s.listedAddress, s.listedBorn, s.replaced = time.Time{}, s.polledAddress, msg.Born, false
	cmds = append(cmds, s.answeredAfterLoss(msg)...)
	missed, requestedAt := s.misses > 0, s.minClock(msg.Sent)
	m.recordCall(s, true)
	s.updateClock(now, msg.Sent, msg.Clock, m.maxLease())
	if again {
		return append(cmds, m.poll(now, s)...)
	}
	tokenNoted := s.tokenNoted
	s.tokenNoted = true
	if missed {
		cmds = append(cmds, CapacityChangedCmd{})
	}
	for _, e := range msg.Ended {
		cmds = append(cmds, m.recordListedEnd(now, s, e)...)
	}
	if len(s.runs) == 0 && (s.processExpected() || s.orderOnItsWay(now)) {
		s.nextPollAt = now.Add(m.limits.ProbeInterval)
	}
	if len(s.losses) > 0 && len(s.runs) == 0 {
		// The poll was sent within the millisecond of the loss.
		s.nextPollAt = now.Add(m.limits.ShortPollWait)
	}
	listed := m.updateRunning(now, s, msg, requestedAt)
	cmds = append(cmds, m.endMissingRuns(now, s, msg, requestedAt, tokenNoted, listed)...)
	cmds = append(cmds, m.stopOrphans(now, s, msg)...)
	cmds = append(cmds, m.stopSlowRuns(now, s)...)
	cmds = append(cmds, m.stopUnconfirmedRuns(now, s)...)
	if m.servers[s.entry.ID] != s {
		return cmds
	}
	return append(cmds, m.poll(now, s)...)
}

func (m *Model) recordListedEnd(now time.Time, s *server, e ListedEnd) []Cmd {
	if e.Number <= s.lastEnd {
		return nil
	}
	s.lastEnd = e.Number
	r := s.runs[e.Name]
	if r == nil || r.task.Run != e.Run {
		return nil
	}
	return m.endRun(now, s, r, e.End, ProofListed, "")
}

// updateRunning updates the listed runs, and collects those that this host does
// not know as orphans. It returns the names of the others.
func (m *Model) updateRunning(now time.Time, s *server, msg PollResultMsg, requestedAt int64) map[string]bool {
	listed := map[string]bool{}
	unknown := s.orphans
	s.orphans = nil
	for _, l := range msg.Running {
		r := s.runs[l.Name]
		if r == nil || r.task.Run != l.Run {
			s.orphans = append(s.orphans, &orphan{ListedRun: l})
			continue
		}
		listed[l.Name] = true
		r.token, r.loss, r.missing = s.token, Loss{}, false
		r.percent, r.listedAt, r.listedBorn, r.uncertain = l.Percent, now, s.born, false
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
		if r.state == starting {
			r.state = running
		}
		if r.state == running {
			r.stoppedBy = time.Time{}
		}
	}
	s.keepOrphans(unknown, msg, m.leasesOver(s, requestedAt))
	return listed
}

// keepOrphans carries over what is known of orphans, and those that are no longer listed but
// may still be stopping, unless all leases were over when the lists were requested.
func (s *server) keepOrphans(unknown []*orphan, msg PollResultMsg, leasesOver bool) {
	for _, o := range unknown {
		same := func(other *orphan) bool { return other.Name == o.Name && other.Run == o.Run }
		ended := func(e ListedEnd) bool { return e.Name == o.Name && e.Run == o.Run }
		if i := slices.IndexFunc(s.orphans, same); i >= 0 {
			s.orphans[i].stoppedBy = o.stoppedBy
			continue
		}
		stopped := !o.stoppedBy.IsZero() && msg.Sent.After(o.stoppedBy) && len(msg.Ended) < maxListedEnds
		if !stopped && !leasesOver && !slices.ContainsFunc(msg.Ended, ended) {
			s.orphans = append(s.orphans, o)
		}
	}
}

// maxListedEnds is the number of ends that a server lists at once, at most. The next lists have
// the others.
const maxListedEnds = 500

// endMissingRuns ends runs that the lists prove not to be on the server. Lists without a run
// prove that it isn't there if it can't be on its way and isn't being stopped, and if those
// before lacked it, too: a server may make the list of the running tasks and that of the ends
// at different times, and the run may have ended in between. The lists were requested when the
// server's clock read requestedAt or more. Those requested before the server noted the token may
// precede an order under a lower one.
func (m *Model) endMissingRuns(now time.Time, s *server, msg PollResultMsg, requestedAt int64, tokenNoted bool, listed map[string]bool) []Cmd {
	var cmds []Cmd
	if len(msg.Ended) >= maxListedEnds {
		return nil
	}
	for _, r := range s.sortedRuns() {
		if listed[r.task.Name()] {
			continue
		}
		missed := r.missing
		switch {
		case r.state == stopping || !r.stoppedBy.IsZero():
			if m.leasesOver(s, requestedAt) {
				cmds = append(cmds, m.endStopped(now, s, r, ProofLease)...)
			} else if !r.stoppedBy.IsZero() && msg.Sent.After(r.stoppedBy) {
				cmds = append(cmds, m.endStopped(now, s, r, ProofStopped)...)
			}
		case r.inDoubt(s):
			r.missing = tokenNoted
			if missed {
				cmds = append(cmds, m.endInDoubt(now, s, r, ProofMissing)...)
			}
		case !r.confirmedAt.IsZero():
			r.missing = msg.Sent.After(r.confirmedAt)
			if missed {
				// Its end is not listed, or was taken note of by an earlier owner.
				cmds = append(cmds, m.stopRun(now, s, r, core.ReasonLeaseExpired)...)
			}
		case r.uncertain && r.deadline < requestedAt:
			r.missing = true
			if missed {
				cmds = append(cmds, m.endRun(now, s, r, work.EndNotStarted, ProofMissing, core.ReasonReset)...)
			}
		}
	}
	return cmds
}

// endStopped ends a run that isn't listed after it must have stopped.
func (m *Model) endStopped(now time.Time, s *server, r *run, proof Proof) []Cmd {
	switch {
	case r.inDoubt(s):
		return m.endInDoubt(now, s, r, proof)
	case r.confirmedAt.IsZero():
		return m.endRun(now, s, r, work.EndNotStarted, proof, core.ReasonCanceled)
	}
	return m.endRun(now, s, r, work.EndLeaseExpired, proof, core.ReasonLeaseExpired)
}

// stopOrphans stops the runs of an earlier owner. The server becomes ready once
// there are none.
func (m *Model) stopOrphans(now time.Time, s *server, msg PollResultMsg) []Cmd {
	if len(s.orphans) == 0 {
		if s.phase == ready {
			return nil
		}
		s.phase = ready
		return []Cmd{CapacityChangedCmd{}, LogCmd{
			Server: s.entry.ID,
			Event:  "held",
			Detail: fmt.Sprintf("born %d, token %d, clock %d", s.born, s.token, msg.Clock),
		}}
	}
	cmds := []Cmd{LogCmd{
		Server: s.entry.ID,
		Event:  "unknown runs stopped",
		Detail: fmt.Sprintf("%d, first %s", len(s.orphans), s.orphans[0].Name),
	}, CapacityChangedCmd{}}
	s.phase = clearing
	for _, o := range s.orphans {
		if now.Before(o.stoppedBy) {
			continue
		}
		cmds = append(cmds, StopCmd{
			Server:  s.entry.ID,
			Address: s.entry.Address,
			Name:    o.Name,
			Run:     o.Run,
			Sent:    now,
			Token:   s.token,
		})
	}
	return cmds
}

// stopSlowRuns stops runs that would finish sooner on another server.
func (m *Model) stopSlowRuns(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		total, slow := m.slowRun(now, s, r)
		if !slow {
			continue
		}
		predicted := r.task.PredictedTime
		s.slowdown = max(s.slowdown, m.limits.SlowFactor)
		if r.percent == 0 {
			s.health = s.health.WithFailure(now)
		} else {
			// If the task itself is long, the next server must not count as slow.
			r.task.PredictedTime = time.Duration(float64(total) * s.speed)
		}
		cmds = append(cmds, LogCmd{
			Server: s.entry.ID,
			Event:  "slow run",
			Detail: fmt.Sprintf("%s at %d %% after %s, predicted %s", r.task.Name(), r.percent, now.Sub(r.confirmedAt), predicted),
		})
		cmds = append(cmds, m.stopRun(now, s, r, core.ReasonSlow)...)
	}
	return cmds
}

// stopUnconfirmedRuns stops runs whose callers were not confirmed to be waiting.
func (m *Model) stopUnconfirmedRuns(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		if r.state != stopping && m.stopDue(now, r.task.ConfirmedAt) {
			cmds = append(cmds, m.stopRun(now, s, r, core.ReasonUnconfirmed)...)
		}
	}
	return cmds
}

const percentDone = 100

// slowRun reports whether a run would end sooner if it were restarted on another
// server of the usual speed, and its estimated total run time on this one. If the server completed
// another run at normal speed in the meantime, the task is long and the server is
// not slow.
func (m *Model) slowRun(now time.Time, s *server, r *run) (total time.Duration, slow bool) {
	if r.state != running || r.task.PredictedTime <= 0 {
		return 0, false
	}
	// The lists may be that old.
	elapsed := now.Sub(r.confirmedAt) - delaysPerCall*m.delay
	predicted := s.predicted(r)
	if elapsed < m.limits.SlowMargin+predicted/2 {
		return 0, false
	}
	total = elapsed * percentDone / time.Duration(max(r.percent, 1))
	if r.percent > 0 && s.lastNormalEnd.After(r.confirmedAt) {
		return total, false
	}
	return total, float64(total) > m.limits.SlowFactor*float64(predicted) && total-elapsed > 2*r.task.PredictedTime
}

// delaysPerCall is how often a call waits for this host: to be sent, to be read, and to be handled.
const delaysPerCall = 3

// tick repeats unanswered orders and ends runs whose leases must have expired. An order isn't
// overdue for as long as this host may not have sent it or read its answer.
func (m *Model) tick(now time.Time, delay time.Duration) []Cmd {
	var cmds []Cmd
	extension := delaysPerCall * min(delay, m.limits.AnswerTimeout)
	hedgeDelay := m.limits.HedgeDelay + extension
	// A late tick shows that this process got no processor time: answers may have arrived that
	// nobody has read.
	late := !m.tickedAt.IsZero() && now.Sub(m.tickedAt) > m.limits.HedgeDelay
	m.tickedAt, m.delay = now, delay
	m.updateSpeeds(now)
	for _, s := range m.sortedServers() {
		if s.phase == fenced {
			continue
		}
		if s.misses > 0 && len(s.runs) > 0 && m.leasesExpired(now, s) {
			cmds = append(cmds, LogCmd{
				Server: s.entry.ID,
				Event:  "leases over",
				Detail: fmt.Sprintf("until %d, clock %d or more, read %d %s ago", s.maxDeadline, s.minClock(now), s.clock, now.Sub(s.clockAt)),
			})
			cmds = append(cmds, m.lose(now, s)...)
			m.raiseToken(now, s)
		}
		for _, r := range s.sortedRuns() {
			if r.state != stopping && m.stopDue(now, r.task.ConfirmedAt) {
				cmds = append(cmds, m.stopRun(now, s, r, core.ReasonUnconfirmed)...)
			}
			if !late && r.state == starting && r.sends == 1 && r.pendingStarts == 1 && !r.inDoubt(s) && s.doubtedAt.IsZero() && now.Sub(r.lastSent) >= hedgeDelay {
				cmds = append(cmds, m.sendStart(now, s, r)...)
			}
			if r.state == starting && r.postponed && !r.inDoubt(s) && (s.doubtedAt.IsZero() || now.Sub(r.firstSent) >= m.limits.StartTimeout) {
				r.postponed = false
				cmds = append(cmds, m.repeatStart(now, s, r)...)
			}
			if r.state == stopping && r.stoppedBy.IsZero() && now.Sub(r.lastSent) >= m.limits.AnswerTimeout+extension {
				cmds = append(cmds, m.stopCmd(now, s, r))
			}
		}
		cmds = append(cmds, m.poll(now, s)...)
		if s.releasing {
			cmds = append(cmds, m.releaseIfEmpty(now, s)...)
		}
	}
	return cmds
}
