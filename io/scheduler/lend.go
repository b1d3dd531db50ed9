package scheduler

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/wire"
)

// Peers reaches other hosts.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
	Send(ctx context.Context, address string, f wire.Frame) error
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// lender lends over peer links.
type lender struct {
	peers    Peers
	reattach time.Duration // that work goes on after a link broke
}

// sendTimeout bounds the sending of a frame that needs no answer.
const sendTimeout = time.Second

// Lend runs a task on another host's backend servers.
func (l lender) Lend(ctx context.Context, host, service string, t work.Task) schedule.EndMsg {
	end := schedule.EndMsg{
		Host: host,
		Task: t,
	}
	answer, repeated, err := again(ctx, l.reattach, func(repeated bool) (wire.Frame, error) {
		lend := lendOf(service, t, time.Now())
		lend.Again = repeated
		return l.peers.Call(ctx, host, wire.Frame{Lend: lend})
	})
	switch {
	case errors.Is(err, peer.ErrNoLink):
		end.End, end.Reason = work.EndNever, core.ReasonUnreachable
	case err != nil:
		end.End, end.Reason = work.EndUnknown, core.ReasonLink
		l.Halt(host, service, t.Name())
	case answer.Lent == nil:
		end.End, end.Reason = work.EndUnknown, core.ReasonMalformed
	default:
		end.End = work.End(answer.Lent.End)
		if repeated && end.End == work.EndNever {
			// The first call may have started it.
			end.End = work.EndUnknown
		}
		end.Reason = core.Reason(answer.Lent.Reason)
		end.Task.Run = answer.Lent.Run
		end.Server = answer.Lent.Server
		end.Took = microseconds(answer.Lent.Took)
		end.Task.Expect = microseconds(answer.Lent.Expect)
	}
	return end
}

// again repeats a call whose link broke, within the time in which the other
// host waits for it, and reports whether it did. A link that can't be made again
// leaves the first error.
func again(ctx context.Context, within time.Duration, call func(repeated bool) (wire.Frame, error)) (answer wire.Frame, repeated bool, err error) {
	answer, err = call(false)
	end := time.Now().Add(within - reattachMargin)
	for errors.Is(err, peer.ErrBroken) && ctx.Err() == nil && time.Now().Before(end) {
		next, again := call(true)
		if !errors.Is(again, peer.ErrNoLink) {
			answer, repeated, err = next, true, again
			continue
		}
		time.Sleep(reattachEvery)
	}
	return answer, repeated, err
}

const (
	reattachEvery = 20 * time.Millisecond
	// reattachMargin covers what a frame takes to travel and to be handled.
	reattachMargin = 50 * time.Millisecond
)

// Halt stops a lent task.
func (l lender) Halt(host, service, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	// A frame that gets lost needs no repetition: the run ends with its task's
	// deadline or with the link.
	_ = l.peers.Send(ctx, host, wire.Frame{Halt: &wire.Halt{
		Service: service,
		Task:    name,
	}})
}

func microseconds(n int) time.Duration { return time.Duration(n) * time.Microsecond }

func lendOf(service string, t work.Task, now time.Time) *wire.Lend {
	return &wire.Lend{
		Job:      t.Job,
		Step:     t.Step,
		Index:    t.Index,
		Run:      t.Run,
		Service:  service,
		Spec:     t.Spec,
		Size:     sizeOf(t.Size),
		Requires: t.Requires,
		Affinity: t.Affinity,
		Apart:    t.PerServer,
		Expect:   int(t.Expect.Microseconds()),
		Left:     int(t.Deadline.Sub(now).Microseconds()),
		Avoid:    t.Avoid,
	}
}

func taskOf(l *wire.Lend, now time.Time) work.Task {
	return work.Task{
		Job:       l.Job,
		Step:      l.Step,
		Index:     l.Index,
		Run:       l.Run,
		Size:      sizeFrom(l.Size),
		Spec:      l.Spec,
		Requires:  l.Requires,
		Affinity:  l.Affinity,
		PerServer: l.Apart,
		Expect:    microseconds(l.Expect),
		Deadline:  now.Add(microseconds(l.Left)),
		Avoid:     l.Avoid,
	}
}

func sizeOf(s work.Size) wire.Size {
	return wire.Size{
		Cpu:    s.CPU,
		Memory: s.Memory,
		Gpu:    s.GPU,
	}
}

func sizeFrom(s wire.Size) work.Size {
	return work.Size{
		CPU:    s.Cpu,
		Memory: s.Memory,
		GPU:    s.Gpu,
	}
}

// ServeLend runs another host's task.
func (s *Scheduler) ServeLend(ctx context.Context, f wire.Frame) (wire.Frame, bool) {
	l := f.Lend
	task := taskOf(l, time.Now())
	ctx, cancel := context.WithDeadline(ctx, task.Deadline.Add(sendTimeout))
	defer cancel()
	end := s.Shard(l.Service).RunLent(ctx, task, l.Again)
	return wire.Frame{Lent: &wire.Lent{
		End:    string(end.End),
		Run:    end.Task.Run,
		Server: end.Server,
		Took:   int(end.Took.Microseconds()),
		Expect: int(end.Task.Expect.Microseconds()),
		Reason: string(end.Reason),
	}}, true
}

// ServeHalt stops a lent task, or drops a job that was handed over.
func (s *Scheduler) ServeHalt(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	s.Shard(f.Halt.Service).halt(f.Halt)
	return wire.Frame{}, false
}

func (s *Shard) halt(h *wire.Halt) {
	if h.Task == "" {
		s.update(schedule.WithdrawMsg{ID: h.Job})
		return
	}
	s.mu.Lock()
	owner, ok := s.pool.OwnerOf(h.Task)
	if !ok {
		s.haltedEarly(h.Task)
	}
	s.mu.Unlock()
	if ok && owner != ownerSelf {
		s.update(pool.StopMsg{
			Name:  h.Task,
			Owner: owner,
		})
	}
}

// ServeRoom takes another host's free room.
func (s *Scheduler) ServeRoom(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	r := f.Room
	room := pool.Room{
		Total:   r.Total,
		Flow:    r.Flow,
		Largest: sizeFrom(r.Largest),
	}
	for _, slot := range r.Slots {
		room.Slots = append(room.Slots, pool.Slot{
			Free:   sizeFrom(slot.Free),
			Labels: slot.Labels,
			Slow:   slot.Slow,
		})
	}
	s.Shard(r.Service).update(schedule.RoomMsg{
		Host: r.Host,
		Room: room,
	})
	return wire.Frame{}, false
}

// holds reports whether this host holds backend servers of the service.
func (s *Shard) holds() bool { return len(s.Held()) > 0 }

// tellRoom sends the free room of shards whose room changed to the other hosts
// that coordinate jobs.
func (s *Scheduler) tellRoom() {
	for _, shard := range s.all() {
		frame, ok := shard.roomFrame()
		if !ok {
			continue
		}
		if !shard.holds() {
			continue
		}
		view := s.parts.Roster.View(s.Servers(shard.service))
		for _, h := range view.Coordinators() {
			if h.Address != s.parts.Self {
				go s.send(h.Address, frame)
			}
		}
	}
}

func (s *Scheduler) send(address string, f wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := s.parts.Peers.Send(ctx, address, f); err != nil {
		s.parts.Log.V(1).Info("room not told", "address", address, "error", err.Error())
	}
}

// tellPeriod is how often the free room is told though it didn't change, for
// homes that are new.
const tellPeriod = 500 * time.Millisecond

func (s *Shard) roomFrame() (wire.Frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.changed && now.Sub(s.toldAt) < tellPeriod {
		return wire.Frame{}, false
	}
	s.changed, s.toldAt = false, now
	room := s.pool.Room(now)
	frame := wire.Room{
		Host:    s.self,
		Service: s.service,
		Total:   room.Total,
		Flow:    room.Flow,
		Largest: sizeOf(room.Largest),
	}
	for _, slot := range room.Slots {
		frame.Slots = append(frame.Slots, wire.Slot{
			Free:   sizeOf(slot.Free),
			Labels: slot.Labels,
			Slow:   slot.Slow,
		})
	}
	return wire.Frame{Room: &frame}, true
}
