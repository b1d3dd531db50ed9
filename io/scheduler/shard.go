package scheduler

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Servers gives orders to backend servers.
type Servers interface {
	Start(ctx context.Context, cmd pool.StartCmd) pool.StartedMsg
	Stop(ctx context.Context, cmd pool.StopCmd) pool.StoppedMsg
	Hold(ctx context.Context, cmd pool.HoldCmd) pool.HeldMsg
}

// Lender runs tasks on other hosts' backend servers.
type Lender interface {
	// Lend runs a task and returns when its run ended.
	Lend(ctx context.Context, host, service string, task work.Task) schedule.EndMsg
	Halt(host, service, name string)
}

// owner names in the pool: the own scheduler, and tasks lent to other hosts.
const (
	ownerSelf = ""
	lentTo    = "lent:"
)

// Shard is the jobs and the backend servers of one service.
type Shard struct {
	service  string
	self     string
	servers  Servers
	lender   Lender
	answer   time.Duration // longest wait for an order's answer
	reattach time.Duration // that work for a host whose link broke goes on
	stall    time.Duration // after which a decision is out of date
	tell     schedule.TellLimits
	stalls   *stall.Detector
	wake     func() // called when time has to pass
	counters *telemetry.Counters
	log      logr.Logger

	mu       sync.Mutex
	stalled  int // how often this host stood still so far
	pool     *pool.Model
	jobs     *schedule.Model
	callers  map[string]func(work.Outcome)
	lent     map[string]*lentRun // by owner
	halted   map[string]int      // halts of tasks that weren't known, by task name
	next     int
	teller   *schedule.Teller
	room     wire.Room // as it was last looked at for other homes
	changes  int       // of the room so far
	lookedAt time.Time // when the room was last looked at
	changed  bool      // the room may have changed since then
}

// effect is a command that is carried out without the lock.
type effect func()

// update takes messages until no decision is left to make, and carries out the
// commands afterwards.
func (s *Shard) update(msgs ...any) {
	s.apply(msgs)
	if !s.idle() {
		s.wake()
	}
}

// passTime lets the decisions see that time passed.
func (s *Shard) passTime() { s.apply([]any{pool.TickMsg{}, schedule.TickMsg{}}) }

func (s *Shard) apply(msgs []any) {
	s.mu.Lock()
	now := time.Now()
	if count, gap := s.stalls.Count(now); count != s.stalled {
		s.stalled = count
		s.log.Info("stood still", "for", gap.String(), "jobs", s.jobs.Jobs(), "runs", s.pool.Pending())
		msgs = slices.Insert(msgs, 0, any(schedule.StallMsg{}))
	}
	effects := s.settle(now, msgs)
	s.mu.Unlock()
	for _, run := range effects {
		run()
	}
}

// settle runs under the lock.
func (s *Shard) settle(now time.Time, msgs []any) []effect {
	var effects []effect
	dirty := false
	for len(msgs) > 0 || dirty {
		if len(msgs) == 0 {
			dirty = false
			msgs = append(msgs, schedule.RoomMsg{
				Host: s.self,
				Room: s.pool.Capacity(now),
			})
		}
		msg := msgs[0]
		msgs = msgs[1:]
		switch msg := msg.(type) {
		case pool.Msg:
			for _, cmd := range s.pool.Update(now, msg) {
				more, run, room := s.poolCmd(cmd)
				msgs, effects = append(msgs, more...), append(effects, run...)
				dirty = dirty || room
			}
		case schedule.Msg:
			for _, cmd := range s.jobs.Update(now, msg) {
				more, run := s.jobCmd(cmd)
				msgs, effects = append(msgs, more...), append(effects, run...)
			}
		}
	}
	return effects
}

// poolCmd turns a command of the pool into messages and effects.
func (s *Shard) poolCmd(cmd pool.Cmd) (msgs []any, run []effect, room bool) {
	switch cmd := cmd.(type) {
	case pool.StartCmd:
		s.counters.Started()
		return nil, []effect{func() { go s.start(cmd) }}, false
	case pool.StopCmd:
		return nil, []effect{func() { go s.stop(cmd) }}, false
	case pool.HoldCmd:
		return nil, []effect{func() { go s.hold(cmd) }}, false
	case pool.EndCmd:
		if cmd.Owner != ownerSelf {
			return nil, append(s.lentEnd(cmd), s.endNote(cmd)...), false
		}
		return []any{schedule.EndMsg{
			Host:   s.self,
			Task:   cmd.Task,
			End:    cmd.End,
			Server: cmd.Server,
			Took:   cmd.Took,
			Reason: cmd.Reason,
		}}, s.endNote(cmd), false
	case pool.RoomCmd:
		s.changed = true
		return nil, nil, true
	case pool.NoteCmd:
		return nil, []effect{func() {
			s.log.Info("backend server", "event", cmd.Event, "server", cmd.Server, "detail", cmd.Detail)
		}}, false
	}
	return nil, nil, false
}

// endNote logs a run that did not end as done.
func (s *Shard) endNote(cmd pool.EndCmd) []effect {
	if cmd.End == work.EndDone {
		return nil
	}
	if cmd.Reason != "" {
		s.counters.Retried(cmd.Reason)
	}
	return []effect{func() {
		s.log.Info("run ended", "job", cmd.Task.Job, "task", cmd.Task.Name(), "run", cmd.Task.Run,
			"end", cmd.End, "for", cmd.Owner, "reason", cmd.Reason, "server", cmd.Server, "took", cmd.Took.String())
	}}
}

// jobCmd turns a command of the scheduler into messages and effects.
func (s *Shard) jobCmd(cmd schedule.Cmd) (msgs []any, run []effect) {
	switch cmd := cmd.(type) {
	case schedule.RunCmd:
		if cmd.Host != s.self {
			decided := time.Now()
			return nil, []effect{func() { go s.lend(cmd, decided) }}
		}
		return []any{pool.RunMsg{
			Task:  cmd.Task,
			Owner: ownerSelf,
		}}, nil
	case schedule.HaltCmd:
		if cmd.Host != s.self {
			return nil, []effect{func() { go s.lender.Halt(cmd.Host, s.service, cmd.Name) }}
		}
		return []any{pool.StopMsg{
			Name:  cmd.Name,
			Owner: ownerSelf,
		}}, nil
	case schedule.AnswerCmd:
		tell := s.callers[cmd.Caller]
		delete(s.callers, cmd.Caller)
		if tell == nil {
			return nil, nil
		}
		return nil, []effect{func() { tell(cmd.Outcome) }}
	case schedule.NoteCmd:
		s.count(cmd)
		return nil, []effect{func() { s.note(cmd) }}
	}
	return nil, nil
}

func (s *Shard) count(cmd schedule.NoteCmd) {
	switch cmd.Event {
	case string(work.Refused):
		s.counters.Refused(cmd.Reason)
	case string(work.Failed), string(work.Broken):
		s.counters.Failed(cmd.Reason)
	}
	s.counters.Finished(cmd.Event)
}

func (s *Shard) note(cmd schedule.NoteCmd) {
	s.log.Info("job", "event", cmd.Event, "job", cmd.ID, "route", cmd.Route, "reason", cmd.Reason,
		"waiting", cmd.Waiting, "wait", cmd.Wait.String(), "age", cmd.Age.String())
}

func (s *Shard) start(cmd pool.StartCmd) {
	ctx, cancel := context.WithTimeout(context.Background(), s.answer)
	defer cancel()
	s.update(s.servers.Start(ctx, cmd))
}

func (s *Shard) stop(cmd pool.StopCmd) {
	ctx, cancel := context.WithTimeout(context.Background(), s.answer)
	defer cancel()
	s.update(s.servers.Stop(ctx, cmd))
}

func (s *Shard) hold(cmd pool.HoldCmd) {
	ctx, cancel := context.WithTimeout(context.Background(), s.answer+cmd.Wait)
	defer cancel()
	s.update(s.servers.Hold(ctx, cmd))
}

// lend asks another host to run a task, unless this host stood still since it was
// decided.
func (s *Shard) lend(cmd schedule.RunCmd, decided time.Time) {
	if s.stall > 0 && time.Since(decided) >= s.stall {
		s.update(schedule.EndMsg{
			Host:   cmd.Host,
			Task:   cmd.Task,
			End:    work.EndNever,
			Reason: core.ReasonStall,
		})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), cmd.Task.Deadline)
	defer cancel()
	s.update(s.lender.Lend(ctx, cmd.Host, s.service, cmd.Task))
}

// Do hands a job in and returns its outcome; ok is false when ctx ended before. The
// job goes on for the given time then, so that its caller can come back.
func (s *Shard) Do(ctx context.Context, msg schedule.SubmitMsg, linger time.Duration) (outcome work.Outcome, ok bool) {
	answer := make(chan work.Outcome, 1)
	s.mu.Lock()
	s.next++
	caller := strconv.Itoa(s.next)
	s.callers[caller] = func(o work.Outcome) { answer <- o }
	s.mu.Unlock()
	msg.Caller = caller
	s.update(msg)
	select {
	case o := <-answer:
		return o, true
	case <-ctx.Done():
		time.AfterFunc(linger, func() { s.update(schedule.DropMsg{Caller: caller}) })
		return work.Outcome{}, false
	}
}
