package dispatch

import (
	"context"
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

// Config is the static configuration of a Dispatcher.
type Config struct {
	Shards    int
	Bytes     int // limit on the task bodies in memory
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

	mu            sync.RWMutex
	pools         map[string]*pool
	serversLoaded bool // a list of backend servers was received
	fleetRole     func(service string) place.FleetMsg
	quotas        map[string]int
	teamWeights   map[string]float64
}

// New returns a Dispatcher without backend servers.
func New(config Config, issuer *ticket.Issuer, sender Sender, counters *telemetry.Counters, log logr.Logger) *Dispatcher {
	d := &Dispatcher{
		config:   config,
		issuer:   issuer,
		sender:   sender,
		counters: counters,
		log:      log.WithName("dispatch"),
		now:      time.Now,
		pools:    map[string]*pool{},
		fleetRole: func(string) place.FleetMsg {
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
			model:   job.New(issuer.Incarnation(), retention),
			records: map[ticket.ID]*jobRecord{},
		})
	}
	return d
}

// Issue returns a fresh ticket of this host.
func (d *Dispatcher) Issue() ticket.Ticket { return d.issuer.Issue() }

// Ownership is the relation of this host to an incarnation's tickets.
type Ownership uint8

// Values of Ownership.
const (
	Foreign Ownership = iota // another host is responsible for them
	Owned                    // this host is responsible for them
	Sealed                   // this host was, and is handing them over
)

// Ownership returns the relation of this host to an incarnation's tickets.
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

// Submit runs a job under a ticket of this host, or joins the job that runs under it,
// and waits for the outcome.
//
// It returns false if ctx ended first; the job continues.
func (d *Dispatcher) Submit(ctx context.Context, id ticket.ID, sub Submission) (job.Outcome, bool) {
	s := d.shard(id)
	s.mu.Lock()
	// Checked under the lock, so that a ticket is either in the snapshots that Seal
	// returns or unused.
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
			s.records[id] = d.newRecord(id, sub)
		}
	}
	w := s.records[id]
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
			d.recordEvent(id, stepJoined, wholeJob, "", "")
		}
	}
	return wait(ctx, w)
}

func wait(ctx context.Context, w *jobRecord) (job.Outcome, bool) {
	select {
	case <-w.done:
		return w.outcome, true
	case <-ctx.Done():
		return job.Outcome{}, false
	}
}

// newRecord returns the record of a new job. The caller holds the lock of the job's
// shard.
func (d *Dispatcher) newRecord(id ticket.ID, sub Submission) *jobRecord {
	d.bytes.Add(int64(sub.bytes()))
	return &jobRecord{
		submission: sub,
		done:       make(chan struct{}),
		aborts:     map[int]context.CancelFunc{},
		bytes:      sub.bytes(),
		timer:      time.AfterFunc(sub.Deadline, func() { d.tickShard(d.shard(id)) }),
	}
}

// admit queues a job at its service's pool, or refuses it as not run.
func (d *Dispatcher) admit(id ticket.ID, sub Submission) {
	reason := d.refusalReason(sub)
	if reason != "" {
		d.refuse(id, reason, 0)
		return
	}
	p := d.pool(sub.Service)
	d.runPool(p, p.update(d.now(), place.EnqueueMsg{
		Job: queue.Job{
			ID:      id,
			Team:    sub.Team,
			Tasks:   len(sub.Bodies),
			Arrived: d.now(),
		},
		Need:     sub.Need,
		Deadline: d.now().Add(sub.Deadline),
	}))
}

func (d *Dispatcher) refusalReason(sub Submission) core.Reason {
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
	d.recordEvent(id, stepRefused, wholeJob, "", reason)
	d.updateJob(id, job.RefuseMsg{
		ID:         id,
		Reason:     reason,
		RetryAfter: after,
	})
}

func (d *Dispatcher) isLoaded() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serversLoaded
}

func (d *Dispatcher) pool(service string) *pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools[service]
}

// Cancel cancels a job of this host; a finished job keeps its outcome.
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
	w := s.records[id]
	s.mu.Unlock()
	if finished || !known || w == nil {
		return outcome, finished, known
	}
	outcome, finished = wait(ctx, w)
	return outcome, finished, true
}

// Explain returns the recorded events of a job.
func (d *Dispatcher) Explain(id ticket.ID) (events []Event, dropped int, known bool) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.records[id]
	if w == nil {
		return nil, 0, false
	}
	return append(events, w.trace.events...), w.trace.dropped, true
}
