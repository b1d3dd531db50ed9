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

// Peers sends frames to other hosts.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
	Send(ctx context.Context, address string, f wire.Frame) error
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// lender runs tasks on other hosts over peer links.
type lender struct {
	peers    Peers
	self     string // peer address
	now      func() time.Time
	reattach time.Duration // how long the remote run continues after a link breaks
}

// sendTimeout bounds the sending of a frame, and the wait for a short answer.
const sendTimeout = time.Second

// Lend runs a task on another host's backend servers and returns how its run ended.
func (l lender) Lend(ctx context.Context, host, service string, t work.Task) schedule.EndMsg {
	end := schedule.EndMsg{
		Host: host,
		Task: t,
	}
	answer, repeated, err := callWithRetry(ctx, l.reattach, func(repeated bool) (wire.Frame, error) {
		lend := taskToWire(service, t, l.now())
		lend.Again, lend.Home = repeated, &l.self
		return l.peers.Call(ctx, host, wire.Frame{Lend: lend})
	})
	switch {
	case errors.Is(err, peer.ErrNoLink):
		end.End, end.Reason = work.EndNotStarted, core.ReasonUnreachable
	case err != nil:
		end.End, end.Reason = work.EndUnknown, core.ReasonLink
		l.Halt(host, service, t.Name())
	case answer.Lent == nil:
		end.End, end.Reason = work.EndUnknown, core.ReasonMalformed
	default:
		end.End = work.End(answer.Lent.End)
		if repeated && end.End == work.EndNotStarted {
			// The first call may have started the task before the link broke.
			end.End = work.EndUnknown
		}
		end.Reason = core.Reason(answer.Lent.Reason)
		end.Task.Run = answer.Lent.Run
		end.Server = answer.Lent.Server
		if answer.Lent.Loss != nil {
			loss := lossFromWire(*answer.Lent.Loss)
			end.Loss, end.Fate = loss.Loss, loss.Fate
		}
		end.Took = microseconds(answer.Lent.Took)
		end.Task.PredictedTime = microseconds(answer.Lent.Expect)
	}
	return end
}

// callWithRetry repeats a call whose link broke, within the time for which the other
// host waits for the repetition, and reports whether a repeated call reached it. If the
// link can't be re-established, the error of the first call is returned.
func callWithRetry(ctx context.Context, within time.Duration, call func(repeated bool) (wire.Frame, error)) (answer wire.Frame, repeated bool, err error) {
	answer, err = call(false)
	end := time.Now().Add(within - reattachMargin)
	for errors.Is(err, peer.ErrLinkClosed) && ctx.Err() == nil && time.Now().Before(end) {
		next, retryErr := call(true)
		if !errors.Is(retryErr, peer.ErrNoLink) {
			answer, repeated, err = next, true, retryErr
			continue
		}
		time.Sleep(reattachInterval)
	}
	return answer, repeated, err
}

const (
	reattachInterval = 20 * time.Millisecond
	// Allows for the transfer and processing of a frame.
	reattachMargin = 50 * time.Millisecond
)

// Halt stops a task that runs on another host.
func (l lender) Halt(host, service, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	// A lost frame is not repeated: the other host stops the run when it learns that the
	// call which lends the task has been withdrawn.
	_ = l.peers.Send(ctx, host, wire.Frame{Halt: &wire.Halt{
		Service: service,
		Task:    name,
		Home:    &l.self,
	}})
}

func microseconds(n int) time.Duration { return time.Duration(n) * time.Microsecond }

func taskToWire(service string, t work.Task, now time.Time) *wire.Lend {
	return &wire.Lend{
		Job:      t.Job,
		Step:     t.Step,
		Index:    t.Index,
		Run:      t.Run,
		Service:  service,
		Spec:     t.Spec,
		Size:     sizeToWire(t.Size),
		Requires: t.Requires,
		Affinity: t.Affinity,
		Apart:    t.MaxPerServer,
		Expect:   int(t.PredictedTime.Microseconds()),
		Left:     int(t.Deadline.Sub(now).Microseconds()),
		Avoid:    t.AvoidServer,
		Suspect:  optional(t.Suspect),
	}
}

func taskFromWire(l *wire.Lend, now time.Time) work.Task {
	return work.Task{
		Job:           l.Job,
		Step:          l.Step,
		Index:         l.Index,
		Run:           l.Run,
		Size:          sizeFromWire(l.Size),
		Spec:          l.Spec,
		Requires:      l.Requires,
		Affinity:      l.Affinity,
		MaxPerServer:  l.Apart,
		PredictedTime: microseconds(l.Expect),
		Deadline:      now.Add(microseconds(l.Left)),
		AvoidServer:   l.Avoid,
		Suspect:       isSet(l.Suspect),
	}
}

func sizeToWire(s work.Size) wire.Size {
	return wire.Size{
		Cpu:    s.CPU,
		Memory: s.Memory,
		Gpu:    s.GPU,
	}
}

func sizeFromWire(s wire.Size) work.Size {
	return work.Size{
		CPU:    s.Cpu,
		Memory: s.Memory,
		GPU:    s.Gpu,
	}
}

// ServeLend runs a task for another host.
func (s *Scheduler) ServeLend(ctx context.Context, f wire.Frame) (wire.Frame, bool) {
	l := f.Lend
	task := taskFromWire(l, s.config.Now())
	ctx, cancel := context.WithTimeout(ctx, microseconds(l.Left)+sendTimeout)
	defer cancel()
	end := s.Shard(l.Service).RunLent(ctx, homeFromWire(l.Home), task, l.Again)
	return wire.Frame{Lent: &wire.Lent{
		End:    string(end.End),
		Run:    end.Task.Run,
		Server: end.Server,
		Took:   int(end.Took.Microseconds()),
		Expect: int(end.Task.PredictedTime.Microseconds()),
		Reason: string(end.Reason),
		Loss:   lentLoss(end),
	}}, true
}

// homeFromWire returns the home that sent a frame, or "" if it doesn't say.
func homeFromWire(home *string) string {
	if home == nil {
		return ""
	}
	return *home
}

// ServeHalt stops a task that runs for another host, or withdraws a job that another
// host submitted.
func (s *Scheduler) ServeHalt(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	shard := s.Shard(f.Halt.Service)
	if f.Halt.Task != "" {
		shard.halt(homeFromWire(f.Halt.Home), f.Halt.Task)
		return wire.Frame{}, false
	}
	name := schedule.JobName{
		Queue: queueFromWire(f.Halt.Queue),
		ID:    f.Halt.Job,
	}
	s.shardOf(f.Halt.Service, "", name.ID).update(schedule.WithdrawMsg(name))
	shard.withdrawJoin(name)
	return wire.Frame{}, false
}

// halt stops a task that runs for a home. A halt that doesn't name its home is that of the
// home for which the task runs.
func (s *Shard) halt(home, task string) {
	s.mu.Lock()
	owner, running := s.pool.OwnerOf(task)
	run := s.lent[owner]
	mine := run != nil && (home == "" || run.home == "" || run.home == home)
	if !running || (home != "" && !mine) {
		s.recordEarlyHalt(lentTask{
			home: home,
			name: task,
		})
	}
	s.mu.Unlock()
	if running && mine {
		s.update(pool.StopMsg{
			Name:  task,
			Owner: owner,
		})
	}
}

// ServeRoom records the free capacity that another host reports.
func (s *Scheduler) ServeRoom(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	r := f.Room
	capacity := pool.Capacity{
		TotalCPU:    r.Total,
		ReleaseRate: r.Flow,
		Largest:     sizeFromWire(r.Largest),
	}
	for _, slot := range r.Slots {
		capacity.Slots = append(capacity.Slots, pool.Slot{
			Free:   sizeFromWire(slot.Free),
			Labels: slot.Labels,
			Slow:   slot.Slow,

			Busy:    isSet(slot.Busy),
			Suspect: isSet(slot.Suspect),
		})
	}
	shard := s.Shard(r.Service)
	shard.mu.Lock()
	shard.notifier.SetLow(shard.now(), r.Host, r.Need)
	shard.mu.Unlock()
	shard.update(schedule.CapacityMsg{
		Host:     r.Host,
		Capacity: capacity,
		Backlog:  r.Backlog,
	})
	return wire.Frame{}, false
}

// sendCapacity reports the free capacity of this host's backend servers to the hosts
// that may run tasks on them, where a report is due.
func (s *Scheduler) sendCapacity() {
	for _, shard := range s.all() {
		if !shard.reportsCapacity() {
			continue
		}
		var partners []string
		for _, h := range s.plan(shard.service).Partners(s.config.Roster.Self()) {
			partners = append(partners, h.Address)
		}
		frame, due := shard.capacityFrame(partners)
		for _, address := range due {
			go s.send(address, frame)
		}
	}
}

// reportsCapacity reports whether other hosts need reports from this one: it holds
// backend servers, or its queued jobs need capacity elsewhere.
func (s *Shard) reportsCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.OwnsAny() || s.jobs.Queued() > 0
}

func (s *Scheduler) send(address string, frame wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := s.config.Peers.Send(ctx, address, frame); err != nil {
		s.config.Log.V(1).Info("frame not sent", "address", address, "error", err.Error())
	}
}

// lowCapacityRatio is the free share of the total capacity below which a home asks for
// frequent reports from others.
const lowCapacityRatio = 0.2

// capacityFrame returns the report of free capacity, and the hosts that are due to receive
// it: partners, and others that are low on capacity.
func (s *Shard) capacityFrame(partners []string) (wire.Frame, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.capacityDirty || now.Sub(s.capacityCheckedAt) >= s.notifyLimits.Unchanged {
		s.capacityDirty, s.capacityCheckedAt = false, now
		if current := s.capacityToWire(now); !sameCapacity(current, s.reportedCapacity) {
			s.reportedCapacity = current
			s.capacityRevision++
		}
	}
	report := s.reportedCapacity
	return wire.Frame{Room: &report}, s.notifier.Due(now, partners, s.capacityRevision, report.Need)
}

// capacityToWire returns the free capacity in its wire format. The caller holds s.mu.
func (s *Shard) capacityToWire(now time.Time) wire.Room {
	capacity := s.pool.Capacity(now)
	report := wire.Room{
		Host:    s.self,
		Backlog: s.jobs.Backlog(),
		Service: s.service,
		Total:   capacity.TotalCPU,
		Flow:    capacity.ReleaseRate,
		Largest: sizeToWire(capacity.Largest),
	}
	free := 0
	for _, slot := range capacity.Slots {
		free += slot.Free.CPU
		report.Slots = append(report.Slots, wire.Slot{
			Free:   sizeToWire(slot.Free),
			Labels: slot.Labels,
			Slow:   slot.Slow,

			Busy:    optional(slot.Busy),
			Suspect: optional(slot.Suspect),
		})
	}
	report.Need = s.evacuated.Own || float64(free) < lowCapacityRatio*float64(capacity.TotalCPU) || s.jobs.LacksCapacity(now)
	return report
}

// sameCapacity reports whether two reports offer the same capacity.
func sameCapacity(a, b wire.Room) bool {
	return a.Need == b.Need && (a.Backlog > 0) == (b.Backlog > 0) &&
		a.Total == b.Total && a.Largest == b.Largest &&
		slices.EqualFunc(a.Slots, b.Slots, func(a, b wire.Slot) bool {
			return a.Free == b.Free && a.Slow == b.Slow && isSet(a.Suspect) == isSet(b.Suspect) && slices.Equal(a.Labels, b.Labels)
		})
}
