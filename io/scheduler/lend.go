package scheduler

import (
	"context"
	"slices"
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
	room := pool.Capacity{
		TotalCPU: r.Total,
		Flow:     r.Flow,
		Largest:  sizeFrom(r.Largest),
	}
	for _, slot := range r.Slots {
		room.Slots = append(room.Slots, pool.Slot{
			Free:   sizeFrom(slot.Free),
			Labels: slot.Labels,
			Slow:   slot.Slow,
		})
	}
	shard := s.Shard(r.Service)
	shard.mu.Lock()
	shard.teller.Need(time.Now(), r.Host, r.Need)
	shard.mu.Unlock()
	shard.update(schedule.RoomMsg{
		Host: r.Host,
		Room: room,
	})
	return wire.Frame{}, false
}

// tellRoom sends the free room of this host's backend servers to the homes that it
// lends to, as far as news is due there.
func (s *Scheduler) tellRoom() {
	for _, shard := range s.all() {
		if !shard.tells() {
			continue
		}
		var partners []string
		for _, h := range s.plan(shard.service).Partners(s.parts.Roster.Self()) {
			partners = append(partners, h.Address)
		}
		frame, due := shard.roomFrame(partners)
		for _, address := range due {
			go s.send(address, frame)
		}
	}
}

// tells reports whether other homes are to hear of this one's room: it has some, or
// jobs wait for room of theirs.
func (s *Shard) tells() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Holds() || s.jobs.Queued() > 0
}

func (s *Scheduler) send(address string, f wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := s.parts.Peers.Send(ctx, address, f); err != nil {
		s.parts.Log.V(1).Info("room not told", "address", address, "error", err.Error())
	}
}

// needPart is the part of all its room below which a home's free room is little.
const needPart = 0.2

// roomFrame returns the free room, and which of some homes are to be told of it.
func (s *Shard) roomFrame(partners []string) (wire.Frame, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.changed || now.Sub(s.lookedAt) >= s.tell.Again {
		s.changed, s.lookedAt = false, now
		if room := s.wireRoom(now); !sameRoom(room, s.room) {
			s.room = room
			s.changes++
		}
	}
	room := s.room
	return wire.Frame{Room: &room}, s.teller.Due(now, partners, s.changes, room.Need)
}

// wireRoom returns the free room as it is told, under the lock.
func (s *Shard) wireRoom(now time.Time) wire.Room {
	room := s.pool.Capacity(now)
	told := wire.Room{
		Host:    s.self,
		Service: s.service,
		Total:   room.TotalCPU,
		Flow:    room.Flow,
		Largest: sizeOf(room.Largest),
	}
	free := 0
	for _, slot := range room.Slots {
		free += slot.Free.CPU
		told.Slots = append(told.Slots, wire.Slot{
			Free:   sizeOf(slot.Free),
			Labels: slot.Labels,
			Slow:   slot.Slow,
		})
	}
	told.Need = float64(free) < needPart*float64(room.TotalCPU) || s.jobs.Queued() > 0
	return told
}

// sameRoom reports whether two states of a pool offer the same.
func sameRoom(a, b wire.Room) bool {
	return a.Need == b.Need && a.Total == b.Total && a.Largest == b.Largest &&
		slices.EqualFunc(a.Slots, b.Slots, func(a, b wire.Slot) bool {
			return a.Free == b.Free && a.Slow == b.Slow && slices.Equal(a.Labels, b.Labels)
		})
}
