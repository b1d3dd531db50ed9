package scheduler

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/late"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Servers sends commands to backend servers.
type Servers interface {
	Start(ctx context.Context, cmd pool.StartCmd) pool.StartedMsg
	Stop(ctx context.Context, cmd pool.StopCmd) pool.StoppedMsg
	Hold(ctx context.Context, cmd pool.PollCmd) pool.PollResultMsg
}

// Lender runs tasks on other hosts' backend servers.
type Lender interface {
	// Lend runs a task and returns when its run has ended.
	Lend(ctx context.Context, host, service string, task work.Task) schedule.EndMsg
	Halt(host, service, name string)
}

// Owner names in the pool: the local scheduler, and tasks lent by other hosts.
const (
	ownerSelf       = ""
	lentOwnerPrefix = "lent:"
)

// Shard manages the jobs and the backend servers of one service.
type Shard struct {
	service      string
	self         string
	servers      Servers
	lender       Lender
	answer       time.Duration // timeout of a command to a backend server
	reattach     time.Duration // how long work continues for a host whose link broke
	stall        time.Duration // age at which a decision is outdated
	notifyLimits schedule.ReportIntervals
	stalls       *stall.Detector
	load         *load
	meter        *late.Meter
	now          func() time.Time
	wake         func() // called when the shard needs ticks
	ask          func(schedule.AskCmd)
	announcer    *announcer
	shareLoss    func(schedule.LossMsg)
	counters     *telemetry.Counters
	log          logr.Logger

	mu                sync.Mutex
	stallCount        int // stalls of this host that were handled
	pool              *pool.Model
	jobs              *schedule.Model
	callers           map[string]caller
	lent              map[string]*lentRun // by owner
	earlyHalts        map[lentTask]int    // halts of unknown tasks
	lastCaller        int
	notifier          *schedule.Reporter
	reportedCapacity  wire.Room // latest state for reports to other homes
	capacityRevision  int       // incremented when reportedCapacity changes
	capacityCheckedAt time.Time // when reportedCapacity was last refreshed
	capacityDirty     bool      // free capacity may have changed since then
	evacuated         schedule.EvacuatedMsg

	joins       map[schedule.JobName][]*joinCall // calls to homes that announced a job
	loggedHomes schedule.HomesMsg
}

// caller is a caller that waits for the outcome of a job.
type caller struct {
	ctx   context.Context
	reply func(work.Outcome)
}

// effect is a command that is carried out without holding the lock.
type effect func()

// update processes messages and all that follow from them, then carries out the
// resulting commands.
func (s *Shard) update(msgs ...any) {
	s.apply(msgs)
	if !s.idle() {
		s.wake()
	}
}

// advance passes the current time to the models.
func (s *Shard) advance() {
	s.apply([]any{
		pool.TickMsg{Delay: s.load.delay()},
		schedule.TickMsg{},
	})
}

func (s *Shard) apply(msgs []any) {
	s.mu.Lock()
	now := s.now()
	if count, gap := s.stalls.Observe(now); count != s.stallCount {
		s.stallCount = count
		s.log.Info("process stalled", "for", gap.String(), "jobs", s.jobs.Jobs(), "runs", s.pool.Pending())
		msgs = slices.Insert(msgs, 0, any(schedule.StallMsg{}))
	}
	effects := s.process(now, msgs)
	s.mu.Unlock()
	for _, run := range effects {
		run()
	}
}

// process passes messages to the models until none are left, and returns the effects.
// The caller holds s.mu.
func (s *Shard) process(now time.Time, msgs []any) []effect {
	var effects []effect
	capacityChanged := false
	for len(msgs) > 0 || capacityChanged {
		if len(msgs) == 0 {
			capacityChanged = false
			msgs = append(msgs, schedule.CapacityMsg{
				Host:     s.self,
				Capacity: s.pool.Capacity(now),
			})
		}
		msg := msgs[0]
		msgs = msgs[1:]
		switch msg := msg.(type) {
		case pool.Msg:
			for _, cmd := range s.pool.Update(now, msg) {
				more, run, changed := s.runPoolCmd(now, cmd)
				msgs, effects = append(msgs, more...), append(effects, run...)
				capacityChanged = capacityChanged || changed
			}
		case schedule.Msg:
			for _, cmd := range s.jobs.Update(now, msg) {
				more, run := s.runJobCmd(cmd)
				msgs, effects = append(msgs, more...), append(effects, run...)
			}
		}
	}
	return effects
}

// runPoolCmd turns a command of the pool into messages and effects.
func (s *Shard) runPoolCmd(now time.Time, cmd pool.Cmd) (msgs []any, run []effect, capacityChanged bool) {
	switch cmd := cmd.(type) {
	case pool.StartCmd:
		s.counters.Started()
		return nil, append(s.logOrder(now, cmd), func() { go s.start(cmd) }), false
	case pool.StopCmd:
		return nil, []effect{func() { go s.stop(cmd) }}, false
	case pool.PollCmd:
		return nil, []effect{func() { go s.hold(cmd) }}, false
	case pool.EndCmd:
		if cmd.Owner != ownerSelf {
			return []any{schedule.LentEndMsg{
				Job:   cmd.Task.Job,
				Owner: cmd.Owner,
				End:   cmd.End,
			}}, append(s.finishLent(cmd), s.logRunEnd(cmd)...), false
		}
		return []any{schedule.EndMsg{
			Host:   s.self,
			Task:   cmd.Task,
			End:    cmd.End,
			Server: cmd.Server,
			Took:   cmd.Took,
			Reason: cmd.Reason,
			Loss:   cmd.Loss,
			Fate:   cmd.Fate,
		}}, s.logRunEnd(cmd), false
	case pool.CapacityChangedCmd:
		s.capacityDirty = true
		return nil, nil, true
	case pool.LossCmd:
		msgs, run = s.recordLoss(cmd)
		return msgs, run, false
	case pool.LogCmd:
		return nil, []effect{func() {
			s.log.Info("backend server", "event", cmd.Event, "server", cmd.Server, "detail", cmd.Detail)
		}}, false
	}
	return nil, nil, false
}

// logOrder logs the first order to start a run.
func (s *Shard) logOrder(now time.Time, cmd pool.StartCmd) []effect {
	if cmd.Repeated {
		return nil
	}
	fields := []any{
		"job", cmd.Task.Job, "task", cmd.Task.Name(), "run", cmd.Task.Run,
		"for", cmd.Owner, "server", cmd.Server, "born", cmd.Born, "token", cmd.Token, "deadline", cmd.Deadline,
	}
	if cmd.Owner == ownerSelf {
		fields = append(fields, s.historyFields(now, cmd.Task.Job)...)
	}
	return []effect{func() { s.log.Info("run ordered", fields...) }}
}

// historyFields returns log fields with what this home assumes about earlier attempts at a job
// as it starts a task of it. The caller holds s.mu.
func (s *Shard) historyFields(now time.Time, job string) []any {
	first, guessed := s.jobs.IsFirst(now, job)
	return []any{"first", first, "guessed", guessed, "majority", s.jobs.HasMajority(now, job)}
}

// logRunEnd logs the end of a run, and counts it if the run did not complete.
func (s *Shard) logRunEnd(cmd pool.EndCmd) []effect {
	if cmd.End != work.EndDone && cmd.Reason != "" {
		s.counters.Retried(cmd.Reason)
	}
	return []effect{func() {
		s.log.Info("run ended", "job", cmd.Task.Job, "task", cmd.Task.Name(), "run", cmd.Task.Run,
			"end", cmd.End, "proof", cmd.Proof, "for", cmd.Owner, "reason", cmd.Reason, "server", cmd.Server, "took", cmd.Took.String())
	}}
}

// runJobCmd turns a command of the job model into messages and effects.
func (s *Shard) runJobCmd(cmd schedule.Cmd) (msgs []any, run []effect) {
	switch cmd := cmd.(type) {
	case schedule.RunCmd:
		if cmd.Host != s.self {
			decided := s.now()
			fields := append([]any{"job", cmd.Task.Job, "task", cmd.Task.Name(), "run", cmd.Task.Run, "to", cmd.Host}, s.historyFields(decided, cmd.Task.Job)...)
			return nil, []effect{func() {
				s.log.Info("run lent", fields...)
				go s.lend(cmd, decided)
			}}
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
		caller, ok := s.callers[cmd.Caller]
		delete(s.callers, cmd.Caller)
		if !ok {
			return nil, nil
		}
		return nil, []effect{func() { caller.reply(cmd.Outcome) }}
	case schedule.ConfirmCmd:
		return []any{pool.ConfirmMsg{
			Owner: ownerSelf,
			Job:   cmd.Job,
			At:    cmd.At,
		}}, nil
	case schedule.AnnounceCmd:
		return nil, []effect{func() { s.announcer.add(cmd.Job) }}
	case schedule.AskCmd:
		return nil, []effect{func() { go s.ask(cmd) }}
	case schedule.LogCmd:
		s.countJob(cmd)
		return nil, []effect{func() { s.logJob(cmd) }}
	}
	return nil, nil
}

func (s *Shard) countJob(cmd schedule.LogCmd) {
	switch cmd.Event {
	case string(work.Refused):
		s.counters.Refused(cmd.Reason)
	case string(work.Failed), string(work.Broken):
		s.counters.Failed(cmd.Reason)
	}
	s.counters.Finished(cmd.Event)
}

func (s *Shard) logJob(cmd schedule.LogCmd) {
	log := s.log
	if cmd.Detail != "" {
		log = log.WithValues("detail", cmd.Detail)
	}
	log.Info("job", "event", cmd.Event, "job", cmd.ID, "route", cmd.Route, "reason", cmd.Reason,
		"waiting", cmd.Waiting, "wait", cmd.Wait.String(), "age", cmd.Age.String())
}

func (s *Shard) start(cmd pool.StartCmd) {
	ctx, cancel := s.meter.WithTimeout(context.Background(), 0, s.answer)
	defer cancel()
	msg := s.servers.Start(ctx, cmd)
	msg.Late = isLate(ctx)
	s.load.recordCall(msg.Result, cmd.Repeated)
	s.update(msg)
}

func (s *Shard) stop(cmd pool.StopCmd) {
	ctx, cancel := s.meter.WithTimeout(context.Background(), 0, s.answer)
	defer cancel()
	msg := s.servers.Stop(ctx, cmd)
	msg.Late = isLate(ctx)
	s.load.recordCall(msg.Result, false)
	s.update(msg)
}

func (s *Shard) hold(cmd pool.PollCmd) {
	ctx, cancel := s.meter.WithTimeout(context.Background(), cmd.Wait, s.answer)
	defer cancel()
	msg := s.servers.Hold(ctx, cmd)
	msg.Late = isLate(ctx)
	s.load.recordCall(msg.Result, false)
	s.update(msg)
}

// isLate reports whether a call ended because this host was late.
func isLate(ctx context.Context) bool { return errors.Is(context.Cause(ctx), late.ErrLate) }

// lend asks another host to run a task, unless this host has stalled since the decision.
func (s *Shard) lend(cmd schedule.RunCmd, decided time.Time) {
	if s.stall > 0 && s.now().Sub(decided) >= s.stall {
		s.update(schedule.EndMsg{
			Host:   cmd.Host,
			Task:   cmd.Task,
			End:    work.EndNotStarted,
			Reason: core.ReasonStall,
		})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Task.Deadline.Sub(s.now()))
	defer cancel()
	ctx = peer.WithConfirmation(ctx, func() (time.Time, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.jobs.ConfirmedAt(cmd.Host, cmd.Task)
	})
	s.update(s.lender.Lend(ctx, cmd.Host, s.service, cmd.Task))
}

// Do submits a job and returns its outcome; ok is false if ctx ended first. The job then
// continues for dropAfter, so that its caller can reattach, unless the caller is known to be
// gone.
func (s *Shard) Do(ctx context.Context, msg schedule.SubmitMsg, dropAfter time.Duration) (outcome work.Outcome, ok bool) {
	wait, ok := s.submit(ctx, msg)
	if !ok {
		return work.Outcome{}, false
	}
	return wait(dropAfter)
}

// outcomeFunc waits for the outcome of a submitted job as Do does.
type outcomeFunc func(dropAfter time.Duration) (outcome work.Outcome, ok bool)

// submit submits a job, unless its caller is known to be gone.
func (s *Shard) submit(ctx context.Context, msg schedule.SubmitMsg) (wait outcomeFunc, ok bool) {
	confirmedAt, waiting := peer.Confirm(ctx)
	if !waiting {
		return nil, false
	}
	answer := make(chan work.Outcome, 1)
	s.mu.Lock()
	s.lastCaller++
	id := strconv.Itoa(s.lastCaller)
	s.callers[id] = caller{
		ctx:   ctx,
		reply: func(o work.Outcome) { answer <- o },
	}
	s.mu.Unlock()
	msg.Caller, msg.ConfirmedAt = id, confirmedAt
	s.update(msg)
	return func(dropAfter time.Duration) (work.Outcome, bool) {
		select {
		case o := <-answer:
			return o, true
		case <-ctx.Done():
			if isWithdrawn(ctx) {
				dropAfter = 0
			}
			time.AfterFunc(dropAfter, func() { s.removeCaller(id) })
			return work.Outcome{}, false
		}
	}, true
}
