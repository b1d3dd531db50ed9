package pool

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// Loss identifies the loss of a server with all its runs: it went silent until its leases ran
// out, or its process ended unannounced. The zero value is no loss.
type Loss struct {
	Server    string
	StartedAt int64 // start of the server's process in Unix milliseconds; 0 if unknown
	SeenAt    int64 // when its owner noticed, in Unix milliseconds; distinguishes the losses of one process
}

// Fate says what became of a lost server. A higher value overrides a lower one.
type Fate int

// Fates of a lost server.
const (
	FateUnknown Fate = iota
	FateAlive        // the same process answered again
	FateCrashed      // another process took its place
)

// LossCmd reports the loss of a server, or later its fate, to all homes.
type LossCmd struct {
	Loss  Loss
	Fate  Fate
	Tasks []string // names of the tasks that it may have been running
}

func (LossCmd) poolCmd() {}

// loss is a loss of a server whose fate is unknown.
type loss struct {
	Loss

	tasks []string
}

// newLoss returns the loss of a server that is noticed now.
func (s *server) newLoss(now time.Time) Loss {
	return Loss{
		Server:    s.entry.ID,
		StartedAt: s.born,
		SeenAt:    now.UnixMilli(),
	}
}

// StartedAt returns the start of the process that last returned the lists of a server of this
// host, in Unix milliseconds; 0 if it isn't known.
func (m *Model) StartedAt(server string) int64 {
	if s := m.servers[server]; s != nil {
		return s.listedBorn
	}
	return 0
}

// lose ends all runs of a server that is silent until its leases ran out. A planned end is no
// loss.
func (m *Model) lose(now time.Time, s *server) []Cmd {
	if s.entry.Draining {
		return m.endAllRuns(now, s, work.EndLeaseExpired, ProofLease, core.ReasonLeaseExpired)
	}
	lost := loss{Loss: s.newLoss(now)}
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		if r.loss != (Loss{}) {
			cmds = append(cmds, m.endInDoubt(now, s, r, ProofLease)...)
			continue
		}
		lost.tasks = append(lost.tasks, r.task.Name())
		cmds = append(cmds, m.endLost(now, s, r, lost.Loss, FateUnknown, ProofLease)...)
	}
	if len(lost.tasks) == 0 {
		return cmds
	}
	s.losses = append(s.losses, lost)
	return append(cmds, lost.cmd(FateUnknown))
}

// crash ends the runs of a process that is gone. Runs that may be at a later process instead
// stay in doubt: an order is unanswered, or that process may have answered it.
func (m *Model) crash(now time.Time, s *server, proof Proof) []Cmd {
	planned := s.planned || s.entry.Draining
	s.planned = false
	lost := loss{Loss: s.newLoss(now)}
	var cmds []Cmd
	for _, r := range s.sortedRuns() {
		ended := r.ordersAnswered() && (proof == ProofReplaced || s.born != 0 && r.listedBorn == s.born)
		switch {
		case planned && ended:
			cmds = append(cmds, m.endRun(now, s, r, work.EndLeaseExpired, proof, core.ReasonLeaseExpired)...)
		case ended:
			lost.tasks = append(lost.tasks, r.task.Name())
			cmds = append(cmds, m.endLost(now, s, r, lost.Loss, FateCrashed, proof)...)
		case !planned && r.loss == (Loss{}):
			r.loss = lost.Loss
		}
	}
	if len(lost.tasks) > 0 {
		s.losses = append(s.losses, lost)
	}
	return append(cmds, s.settleLosses(FateCrashed)...)
}

// endInDoubt ends a run that is not at the process that replaced a crashed one.
func (m *Model) endInDoubt(now time.Time, s *server, r *run, proof Proof) []Cmd {
	if r.loss == (Loss{}) {
		return m.endRun(now, s, r, work.EndLeaseExpired, proof, core.ReasonLeaseExpired)
	}
	lost := loss{
		Loss:  r.loss,
		tasks: []string{r.task.Name()},
	}
	return append(m.endLost(now, s, r, r.loss, FateCrashed, proof), lost.cmd(FateCrashed))
}

// endLost ends a run with its server.
func (m *Model) endLost(now time.Time, s *server, r *run, l Loss, fate Fate, proof Proof) []Cmd {
	reason := core.ReasonLeaseExpired
	if fate == FateCrashed {
		reason = core.ReasonCrashed
	}
	cmds := m.endRun(now, s, r, work.EndLeaseExpired, proof, reason)
	for i, cmd := range cmds {
		if end, ok := cmd.(EndCmd); ok {
			end.Loss, end.Fate = l, fate
			cmds[i] = end
		}
	}
	return cmds
}

// settleLosses reports the fate of a lost server.
func (s *server) settleLosses(fate Fate) []Cmd {
	cmds := make([]Cmd, 0, len(s.losses))
	for _, l := range s.losses {
		cmds = append(cmds, l.cmd(fate))
	}
	s.losses = nil
	return cmds
}

// answeredAfterLoss settles the losses of a server whose process answers a poll that was sent
// after them.
func (s *server) answeredAfterLoss(msg PollResultMsg) []Cmd {
	if len(s.losses) == 0 || msg.Sent.UnixMilli() <= s.losses[len(s.losses)-1].SeenAt {
		return nil
	}
	switch startedAt := s.losses[0].StartedAt; {
	case msg.Born == startedAt:
		return s.settleLosses(FateAlive)
	case msg.Born == 0 || startedAt == 0:
		return s.settleLosses(FateUnknown)
	}
	return s.settleLosses(FateCrashed)
}

func (l loss) cmd(fate Fate) Cmd {
	return LossCmd{
		Loss:  l.Loss,
		Fate:  fate,
		Tasks: l.tasks,
	}
}
