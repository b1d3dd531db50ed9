package dispatch

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/core/place"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/executor"
	"rosemarywalk/io/telemetry"
)

// Sender sends one task to one backend server.
type Sender interface {
	Send(ctx context.Context, t executor.Task) executor.Reply
}

// Config is the fixed part of a Dispatcher.
type Config struct {
	Shards    int
	Bytes     int // of task bodies held at once
	Retention job.Retention
	Policy    place.Policy
	Limits    place.Limits
	Seed      uint64
}

// Dispatcher runs the jobs of one host.
type Dispatcher struct {
	config   Config
	issuer   *ticket.Issuer
	sender   Sender
	counters *telemetry.Counters
	log      logr.Logger
	now      func() time.Time

	shards   []*shard
	draining atomic.Bool
	sealed   atomic.Bool
	bytes    atomic.Int64

	mu     sync.RWMutex
	pools  map[string]*pool
	loaded bool // a list of backend servers was seen
	role   func(service string) place.FleetMsg
	quotas map[string]int
	weight map[string]float64
}

// New returns a Dispatcher that knows no backend server yet.
func New(config Config, issuer *ticket.Issuer, sender Sender, counters *telemetry.Counters, log logr.Logger) *Dispatcher {
	d := &Dispatcher{
		config:   config,
		issuer:   issuer,
		sender:   sender,
		counters: counters,
		log:      log.WithName("dispatch"),
		now:      time.Now,
		pools:    map[string]*pool{},
		role: func(string) place.FleetMsg {
			return place.FleetMsg{
				Queues: 1,
				Part:   1,
			}
		},
	}
	retention := config.Retention
	retention.Bytes /= config.Shards
	for range config.Shards {
		d.shards = append(d.shards, &shard{
			model: job.New(issuer.Incarnation(), retention),
			work:  map[ticket.ID]*work{},
		})
	}
	return d
}

// Issue returns a fresh ticket of this host.
func (d *Dispatcher) Issue() ticket.Ticket { return d.issuer.Issue() }

// Ownership is what this host is to an incarnation's tickets.
type Ownership uint8

// The kinds of ownership.
const (
	Foreign Ownership = iota // another host answers for them
	Owned                    // this host answers for them
	Sealed                   // this host did, and is handing them over
)

// Ownership returns what this host is to an incarnation's tickets.
func (d *Dispatcher) Ownership(inc ticket.Incarnation) Ownership {
	s := d.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.model.Owns(inc):
		return Foreign
	case d.sealed.Load():
		return Sealed
	}
	return Owned
}

func (d *Dispatcher) shard(id ticket.ID) *shard {
	return d.shards[id.Sequence%uint64(len(d.shards))]
}

// Submit runs a job under a ticket of this host, or joins it, and waits.
//
// It returns false when ctx ended first; the job goes on.
func (d *Dispatcher) Submit(ctx context.Context, id ticket.ID, sub Submission) (job.Outcome, bool) {
	s := d.shard(id)
	s.mu.Lock()
	// Under the lock, so that a ticket is either in what Seal returns or unused.
	if d.sealed.Load() {
		s.mu.Unlock()
		return job.Failed(core.RanMaybe, core.ReasonUnreachable), true
	}
	cmds := s.model.Update(d.now(), job.SubmitMsg{
		ID:          id,
		Fingerprint: sub.Fingerprint,
		Tasks:       len(sub.Bodies),
		Idempotent:  sub.Idempotent,
		Deadline:    d.now().Add(sub.Deadline),
	})
	for _, cmd := range cmds {
		if _, ok := cmd.(job.EnqueueCmd); ok {
			s.work[id] = d.newWork(id, sub)
		}
	}
	w := s.work[id]
	s.mu.Unlock()
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case job.ReplyCmd:
			return cmd.Outcome, true
		case job.FinishCmd:
			d.counters.Refused(cmd.Outcome.Reason)
			return cmd.Outcome, true
		case job.EnqueueCmd:
			d.admit(id, sub)
		case job.JoinCmd:
			d.note(id, stepJoined, wholeJob, "", "")
		}
	}
	return wait(ctx, w)
}

func wait(ctx context.Context, w *work) (job.Outcome, bool) {
	select {
	case <-w.done:
		return w.outcome, true
	case <-ctx.Done():
		return job.Outcome{}, false
	}
}

// newWork runs under the shard's lock.
func (d *Dispatcher) newWork(id ticket.ID, sub Submission) *work {
	d.bytes.Add(int64(sub.bytes()))
	return &work{
		submission: sub,
		done:       make(chan struct{}),
		aborts:     map[int]context.CancelFunc{},
		bytes:      sub.bytes(),
		timer:      time.AfterFunc(sub.Deadline, func() { d.tickShard(d.shard(id)) }),
	}
}

// admit puts a job into its service's queue, or refuses it as not run.
func (d *Dispatcher) admit(id ticket.ID, sub Submission) {
	reason := d.refusal(sub)
	if reason != "" {
		d.refuse(id, reason, 0)
		return
	}
	p := d.pool(sub.Service)
	d.runPool(p, p.update(d.now(), place.EnqueueMsg{
		Job: queue.Job{
			ID:    id,
			Team:  sub.Team,
			Tasks: len(sub.Bodies),
			At:    d.now(),
		},
		Need:     sub.Need,
		Deadline: d.now().Add(sub.Deadline),
	}))
}

func (d *Dispatcher) refusal(sub Submission) core.Reason {
	switch {
	case d.draining.Load():
		return core.ReasonDraining
	case d.bytes.Load() > int64(d.config.Bytes):
		return core.ReasonOverload
	case d.pool(sub.Service) != nil:
		return ""
	case !d.isLoaded():
		return core.ReasonStore
	}
	return core.ReasonService
}

func (d *Dispatcher) refuse(id ticket.ID, reason core.Reason, after time.Duration) {
	d.counters.Refused(reason)
	d.note(id, stepRefused, wholeJob, "", reason)
	d.updateJob(id, job.RefuseMsg{
		ID:         id,
		Reason:     reason,
		RetryAfter: after,
	})
}

func (d *Dispatcher) isLoaded() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.loaded
}

func (d *Dispatcher) pool(service string) *pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools[service]
}

// updateJob gives a message to a job's shard and carries out what follows.
func (d *Dispatcher) updateJob(id ticket.ID, msg job.Msg) {
	s := d.shard(id)
	s.mu.Lock()
	cmds := s.model.Update(d.now(), msg)
	s.mu.Unlock()
	d.runJob(s, cmds)
}

func (d *Dispatcher) tickShard(s *shard) {
	s.mu.Lock()
	cmds := s.model.Update(d.now(), job.TickMsg{})
	s.mu.Unlock()
	d.runJob(s, cmds)
}

func (d *Dispatcher) runJob(s *shard, cmds []job.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case job.RevokeCmd:
			d.revoke(s, cmd)
		case job.FinishCmd:
			d.finish(s, cmd)
		case job.EnqueueCmd, job.JoinCmd, job.ReplyCmd, job.SendCmd, job.DropCmd:
		}
	}
}

func (d *Dispatcher) revoke(s *shard, cmd job.RevokeCmd) {
	s.mu.Lock()
	w := s.work[cmd.ID]
	var aborts []context.CancelFunc
	for _, index := range cmd.Sent {
		if abort := w.aborts[index]; abort != nil {
			aborts = append(aborts, abort)
		}
	}
	s.mu.Unlock()
	if p := d.pool(w.submission.Service); p != nil {
		d.runPool(p, p.update(d.now(), place.RevokeMsg{ID: cmd.ID}))
	}
	for _, abort := range aborts {
		abort()
	}
}

func (d *Dispatcher) finish(s *shard, cmd job.FinishCmd) {
	d.note(cmd.ID, stepFinished, wholeJob, "", cmd.Outcome.Reason)
	s.mu.Lock()
	w := s.finish(cmd.ID, cmd.Outcome)
	s.mu.Unlock()
	if w == nil {
		return
	}
	d.bytes.Add(-int64(w.bytes))
	state := "complete"
	if !cmd.Outcome.Complete {
		state = "failed"
		d.counters.Failed(cmd.Outcome.Reason)
	}
	d.counters.Finished(state)
	close(w.done)
}

func (d *Dispatcher) note(id ticket.ID, step string, index int, server string, reason core.Reason) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.work[id]; w != nil {
		w.trace.add(Event{
			At:     d.now(),
			Step:   step,
			Task:   index,
			Server: server,
			Reason: reason,
		})
	}
}

func (d *Dispatcher) runPool(p *pool, cmds []place.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case place.AcceptCmd:
			d.note(cmd.ID, stepAccepted, wholeJob, "", "")
		case place.RefuseCmd:
			d.refuse(cmd.ID, cmd.Reason, cmd.RetryAfter)
		case place.StartCmd:
			d.start(p, cmd)
		case place.RetryCmd:
			d.counters.Retried(cmd.Reason)
			d.note(cmd.Ref.ID, stepRetried, cmd.Ref.Index, "", cmd.Reason)
		case place.FailCmd:
			d.note(cmd.Ref.ID, stepFailed, cmd.Ref.Index, "", cmd.Reason)
			d.updateJob(cmd.Ref.ID, job.FailMsg{
				ID:     cmd.Ref.ID,
				Index:  cmd.Ref.Index,
				Ran:    cmd.Ran,
				Reason: cmd.Reason,
			})
		case place.EjectCmd:
			d.log.Info("backend server ejected", "server", cmd.Server, "reason", cmd.Reason)
		}
	}
}

// start asks the job's shard for permission, then sends.
func (d *Dispatcher) start(p *pool, cmd place.StartCmd) {
	s := d.shard(cmd.Ref.ID)
	s.mu.Lock()
	answers := s.model.Update(d.now(), job.StartMsg{
		ID:     cmd.Ref.ID,
		Index:  cmd.Ref.Index,
		Server: cmd.Server,
	})
	w := s.work[cmd.Ref.ID]
	if _, ok := answers[0].(job.SendCmd); !ok || w == nil {
		s.mu.Unlock()
		d.settle(p, cmd, place.DoneMsg{Result: place.Dropped})
		return
	}
	ctx, abort := context.WithCancel(context.Background())
	w.aborts[cmd.Ref.Index] = abort
	task := taskOf(w.submission, cmd)
	s.mu.Unlock()
	d.note(cmd.Ref.ID, stepSent, cmd.Ref.Index, cmd.Server, "")
	d.counters.Started()
	go d.send(ctx, abort, p, cmd, task, w.submission.Idempotent)
}

func taskOf(sub Submission, cmd place.StartCmd) executor.Task {
	return executor.Task{
		Address: cmd.Address,
		Service: sub.Service,
		Name:    taskName(cmd.Ref),
		Type:    sub.Type,
		Body:    sub.Bodies[cmd.Ref.Index],
		Raw:     sub.Raw,
	}
}

func taskName(ref queue.Ref) string {
	return fmt.Sprintf("%s-%d-%d", ref.ID.Incarnation, ref.ID.Sequence, ref.Index)
}

func (d *Dispatcher) send(ctx context.Context, abort context.CancelFunc, p *pool, cmd place.StartCmd, t executor.Task, idempotent bool) {
	defer abort()
	begin := d.now()
	reply := d.sender.Send(ctx, t)
	took := d.now().Sub(begin)
	d.report(cmd.Ref, reply, idempotent)
	d.settle(p, cmd, place.DoneMsg{
		Result: reply.Result,
		Reason: reply.Reason,
		Again:  idempotent,
		Took:   took,
	})
}

// report tells the job first: the pool may start the task again at once, and
// the job must know by then that the first send did not count.
func (d *Dispatcher) report(ref queue.Ref, reply executor.Reply, idempotent bool) {
	switch reply.Result {
	case place.Answered, place.Errored:
		d.note(ref.ID, stepAnswered, ref.Index, "", reply.Reason)
		d.updateJob(ref.ID, job.AnswerMsg{
			ID:     ref.ID,
			Index:  ref.Index,
			Answer: reply.Answer,
		})
	case place.Refused, place.Unreached:
		d.updateJob(ref.ID, job.ReturnMsg{
			ID:    ref.ID,
			Index: ref.Index,
		})
	case place.Broken, place.Failed:
		if idempotent {
			d.updateJob(ref.ID, job.AgainMsg{
				ID:    ref.ID,
				Index: ref.Index,
			})
		}
	case place.Aborted, place.Dropped:
	}
}

func (d *Dispatcher) settle(p *pool, cmd place.StartCmd, done place.DoneMsg) {
	done.Ref = cmd.Ref
	done.Server = cmd.Server
	d.runPool(p, p.update(d.now(), done))
}

// Cancel stops a job of this host; a finished job stays as it is.
func (d *Dispatcher) Cancel(id ticket.ID) {
	d.updateJob(id, job.CancelMsg{
		ID:     id,
		Reason: core.ReasonCanceled,
	})
}

// Look waits for a job's outcome until ctx ends; known is false for an unused ticket.
func (d *Dispatcher) Look(ctx context.Context, id ticket.ID) (outcome job.Outcome, finished, known bool) {
	s := d.shard(id)
	s.mu.Lock()
	outcome, finished, known = s.model.Look(id)
	w := s.work[id]
	s.mu.Unlock()
	if finished || !known || w == nil {
		return outcome, finished, known
	}
	outcome, finished = wait(ctx, w)
	return outcome, finished, true
}

// Explain returns what is still recorded of a job.
func (d *Dispatcher) Explain(id ticket.ID) (events []Event, dropped int, known bool) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.work[id]
	if w == nil {
		return nil, 0, false
	}
	return append(events, w.trace.events...), w.trace.dropped, true
}

// SetServers replaces the backend servers of every service.
func (d *Dispatcher) SetServers(services map[string][]place.Server) {
	d.mu.Lock()
	d.loaded = true
	pools := maps.Clone(d.pools)
	for service := range services {
		if pools[service] == nil {
			pools[service] = d.newPool(service, uint64(len(pools)))
		}
	}
	d.pools = pools
	d.mu.Unlock()
	for service, p := range pools {
		d.runPool(p, p.update(d.now(), place.ServersMsg{Servers: services[service]}))
	}
}

// newPool runs under d.mu.
func (d *Dispatcher) newPool(service string, number uint64) *pool {
	seed := d.config.Seed + number
	m := place.New(d.config.Policy, d.config.Limits, rand.New(rand.NewPCG(seed, seed)))
	m.Update(d.now(), d.role(service))
	m.Update(d.now(), place.WeightsMsg{Weights: d.weight})
	m.Update(d.now(), place.QuotaMsg{Quotas: d.quotas})
	return &pool{model: m}
}

// tell gives a message to every pool.
func (d *Dispatcher) tell(msg place.Msg) {
	for _, p := range d.allPools() {
		d.runPool(p, p.update(d.now(), msg))
	}
}

// allPools returns the pools by service; the map is never written to.
func (d *Dispatcher) allPools() map[string]*pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools
}

// Tick lets time pass in every shard and pool.
func (d *Dispatcher) Tick() {
	for _, s := range d.shards {
		d.tickShard(s)
	}
	d.tell(place.TickMsg{})
}
