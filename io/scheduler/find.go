package scheduler

import (
	"context"
	"slices"

	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/wire"
)

// Query names a job in a request about it. The job may belong to another service than its
// queue has now.
type Query struct {
	Queue   string
	Service string // of the queue in the configuration in force
	ID      string
}

// Find returns the state of a job on this or any other host, and cancels the job there
// on request.
func (s *Scheduler) Find(ctx context.Context, query Query, cancel bool) (state string) {
	state = s.findLocally(query, cancel)
	otherHosts := s.otherHosts()
	answers := make(chan string, len(otherHosts))
	for _, address := range otherHosts {
		go func() { answers <- s.findOn(ctx, address, query, cancel) }()
	}
	for range otherHosts {
		state = schedule.LaterState(state, <-answers)
	}
	return state
}

// otherHosts returns the addresses of the other hosts that send heartbeats or that are
// alive according to the store; a host that has just started hasn't received heartbeats
// from all of them yet.
func (s *Scheduler) otherHosts() []string {
	view := s.config.Roster.View(nil)
	var addresses []string
	for _, h := range view.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, h := range view.Listed {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == s.config.Self })
}

func (s *Scheduler) findOn(ctx context.Context, host string, query Query, cancel bool) string {
	ctx, release := context.WithTimeout(ctx, sendTimeout)
	defer release()
	answer, err := s.config.Peers.Call(ctx, host, wire.Frame{Find: &wire.Find{
		Job:     query.ID,
		Queue:   &query.Queue,
		Service: query.Service,
		Cancel:  cancel,
	}})
	if err != nil || answer.Found == nil {
		return ""
	}
	return answer.Found.State
}

// ServeFind returns the state of a job on this host.
func (s *Scheduler) ServeFind(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	query := Query{
		Queue:   queueFromWire(f.Find.Queue),
		Service: f.Find.Service,
		ID:      f.Find.Job,
	}
	return wire.Frame{Found: &wire.Found{State: s.findLocally(query, f.Find.Cancel)}}, true
}

// queueFromWire returns the queue that a frame names, or "" if it doesn't.
func queueFromWire(queue *string) string {
	if queue == nil {
		return ""
	}
	return *queue
}

// findLocally returns the state of a job on this host, as it was before it is canceled on
// request.
func (s *Scheduler) findLocally(query Query, cancel bool) (state string) {
	defer s.lockJobs(query.ID)()
	var having []*Shard
	for _, shard := range s.all() {
		found, has := shard.stateOf(query)
		state = schedule.LaterState(state, found)
		if has {
			having = append(having, shard)
		}
	}
	if !cancel {
		return state
	}
	s.recordCancellation(query)
	for _, shard := range having {
		shard.update(schedule.CancelMsg{
			Queue: query.Queue,
			ID:    query.ID,
		})
	}
	return state
}

func (s *Scheduler) recordCancellation(query Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancellations.Add(s.config.Now(), query.Queue, query.ID)
}

// isCanceled reports whether the cancelling of a job was requested before it was submitted.
func (s *Scheduler) isCanceled(job work.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancellations.Has(s.config.Now(), job.Queue, job.ID)
}

// stateOf returns the state of a job in the shard, and whether the shard has a job of that ID.
func (s *Shard) stateOf(query Query) (state string, has bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ = s.jobs.State(query.Queue, query.ID)
	return state, s.jobs.Has(query.ID)
}
