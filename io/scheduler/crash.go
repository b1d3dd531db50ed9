package scheduler

import (
	"context"
	"slices"
	"time"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/io/wire"
)

// lossEvents names the fates of lost servers in the log.
var lossEvents = map[pool.Fate]string{
	pool.FateUnknown: "server lost",
	pool.FateAlive:   "server returned",
	pool.FateCrashed: "server crashed",
}

// recordLoss logs a lost server with the tasks that it may have been running, and reports it to
// all homes.
func (s *Shard) recordLoss(cmd pool.LossCmd) (msgs []any, run []effect) {
	msg := schedule.LossMsg{
		Loss:  cmd.Loss,
		Fate:  cmd.Fate,
		Tasks: cmd.Tasks,
	}
	return []any{msg}, []effect{func() { s.reportLoss(msg) }}
}

// reportLoss logs a loss, and sends it to all homes.
func (s *Shard) reportLoss(msg schedule.LossMsg) {
	s.log.Info(lossEvents[msg.Fate], "server", msg.Loss.Server, "born", msg.Loss.StartedAt,
		"seen", msg.Loss.SeenAt, "tasks", msg.Tasks)
	s.shareLoss(msg)
}

// shareTimeout is how long a home that doesn't answer is sent a loss.
const shareTimeout = 5 * time.Second

// shareLoss sends a loss to all other homes.
func (s *Scheduler) shareLoss(service string, msg schedule.LossMsg) {
	frame := wire.Frame{Crash: &wire.Crash{
		Service: service,
		Losses:  lossesToWire([]schedule.LossMsg{msg}),
	}}
	for _, home := range s.otherHomes(service) {
		go s.sendLoss(home, service, frame)
	}
}

// sendLoss sends a frame to a home until it answers or leaves.
func (s *Scheduler) sendLoss(home, service string, frame wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	for ctx.Err() == nil && slices.Contains(s.otherHomes(service), home) {
		callCtx, cancelCall := s.config.Meter.WithTimeout(ctx, 0, askTimeout)
		answer, err := s.config.Peers.Call(callCtx, home, frame)
		cancelCall()
		if err == nil && answer.Crash != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(askInterval):
		}
	}
}

// ServeCrash records the losses that another host reports.
func (s *Scheduler) ServeCrash(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	s.Shard(f.Crash.Service).addLosses(f.Crash.Losses)
	return wire.Frame{Crash: &wire.Crash{Service: f.Crash.Service}}, true
}

func (s *Shard) addLosses(losses []wire.Loss) {
	msgs := make([]any, 0, len(losses))
	for _, l := range losses {
		msgs = append(msgs, lossFromWire(l))
	}
	if len(msgs) > 0 {
		s.update(msgs...)
	}
}

// losses returns the losses that this host knows of, in their wire format.
func (s *Shard) losses() []wire.Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lossesToWire(s.jobs.Losses())
}

// resolveLosses reports which lost servers have crashed, as another process has returned the
// lists of a server that this host owns now.
func (s *Shard) resolveLosses() {
	s.mu.Lock()
	replaced := s.jobs.Replaced(s.pool.StartedAt)
	s.mu.Unlock()
	for _, msg := range replaced {
		s.update(msg)
		s.reportLoss(msg)
	}
}

func lossesToWire(msgs []schedule.LossMsg) []wire.Loss {
	losses := make([]wire.Loss, 0, len(msgs))
	for _, msg := range msgs {
		loss := lossToWire(msg.Loss, msg.Fate)
		loss.Tasks = msg.Tasks
		losses = append(losses, loss)
	}
	return losses
}

func lossToWire(l pool.Loss, fate pool.Fate) wire.Loss {
	return wire.Loss{
		Server: l.Server,
		Born:   int(l.StartedAt),
		Seen:   int(l.SeenAt),
		Fate:   int(fate),
	}
}

func lossFromWire(l wire.Loss) schedule.LossMsg {
	return schedule.LossMsg{
		Loss: pool.Loss{
			Server:    l.Server,
			StartedAt: int64(l.Born),
			SeenAt:    int64(l.Seen),
		},
		Fate:  pool.Fate(l.Fate),
		Tasks: l.Tasks,
	}
}

// lentLoss returns the loss that a lent run ended with, or nil.
func lentLoss(cmd pool.EndCmd) *wire.Loss {
	if cmd.Loss == (pool.Loss{}) {
		return nil
	}
	loss := lossToWire(cmd.Loss, cmd.Fate)
	return &loss
}

// optional returns a flag for the wire, where false is left out.
func optional(set bool) *bool {
	if !set {
		return nil
	}
	return &set
}

func isSet(flag *bool) bool { return flag != nil && *flag }
