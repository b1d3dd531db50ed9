package scheduler

import (
	"context"
	"slices"
	"time"

	"rosemarywalk/core/inquiry"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/wire"
)

// Query names a job in a request about it. The job may belong to another service than its
// queue has now.
type Query struct {
	Queue   string
	Service string // of the queue in the configuration in force; for hosts that look only there
	ID      string
}

// Find returns the state of a job on this or any other host, or "" if none has it. It returns
// false if a host that may have it didn't answer.
func (s *Scheduler) Find(ctx context.Context, query Query) (state string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	state, known = s.findLocally(query, false), true
	hosts := s.hostsWithJobs()
	answers := make(chan foundOn, len(hosts))
	for _, host := range hosts {
		go func() { answers <- s.findOn(ctx, host, query, false) }()
	}
	for range hosts {
		if state == schedule.StateRunning {
			break
		}
		answer := <-answers
		state, known = schedule.LaterState(state, answer.state), known && answer.ok
	}
	return state, known || state != ""
}

// Cancel cancels a job, and returns its state before that, or "" if no host had it. It returns
// false if ctx ended while a host that may have the job might still start it.
func (s *Scheduler) Cancel(ctx context.Context, query Query) (state string, known bool) {
	search := inquiry.New(s.config.Now(), s.config.Jobs.AnnouncementTTL+s.config.Jobs.MajorityWait)
	state = s.findLocally(query, true)
	// The request also reaches all hosts if the caller leaves.
	asking := context.WithoutCancel(ctx)
	ctx, end := context.WithCancel(ctx)
	defer end()
	answers := make(chan foundOn)
	ticker := time.NewTicker(searchInterval)
	defer ticker.Stop()
	for {
		now, hosts := s.config.Now(), s.hostsWithJobs()
		for _, host := range search.Due(now, hosts) {
			go func() {
				asking, cancel := context.WithTimeout(asking, sendTimeout)
				defer cancel()
				select {
				case answers <- s.findOn(asking, host, query, true):
				case <-ctx.Done():
				}
			}()
		}
		if search.IsDone(now, hosts, s.isMajority) {
			return state, true
		}
		select {
		case answer := <-answers:
			state = schedule.LaterState(state, answer.state)
			search.Answer(s.config.Now(), answer.host, answer.votes, answer.ok)
		case <-ticker.C:
		case <-ctx.Done():
			return state, false
		}
	}
}

// searchInterval is how often hosts that may have a canceled job are looked for.
const searchInterval = 20 * time.Millisecond

// isMajority reports whether homes of each service that has backend servers have a majority,
// given the votes for these homes by address.
func (s *Scheduler) isMajority(votes map[string]inquiry.Votes) bool {
	s.refreshHomes()
	known := false
	for _, shard := range s.all() {
		if len(s.Servers(shard.service)) == 0 {
			continue
		}
		byHome := make(map[string]int, len(votes))
		for home, v := range votes {
			byHome[home] = v[shard.service]
		}
		if !shard.isMajority(byHome) {
			return false
		}
		known = true
	}
	return known
}

func (s *Shard) isMajority(votes map[string]int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.IsMajority(s.now(), votes)
}

// hostsWithJobs returns the addresses of the other hosts that may have jobs: those that send
// heartbeats, those that are alive according to the store, as a host that has just started
// hasn't received heartbeats from all of them yet, and those that may only have lost touch.
func (s *Scheduler) hostsWithJobs() []string {
	view := s.config.Roster.View(nil)
	var addresses []string
	for _, h := range view.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, h := range slices.Concat(view.Listed, view.Electorate) {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == s.config.Self })
}

// foundOn is the answer of a host, unless it gave none.
type foundOn struct {
	host  string
	state string
	votes inquiry.Votes
	ok    bool
}

func (s *Scheduler) findOn(ctx context.Context, host string, query Query, cancel bool) foundOn {
	answer, err := s.config.Peers.Call(ctx, host, wire.Frame{Find: &wire.Find{
		Job:     query.ID,
		Queue:   &query.Queue,
		Service: query.Service,
		Cancel:  cancel,
	}})
	if err != nil || answer.Found == nil {
		return foundOn{host: host}
	}
	votes := inquiry.Votes{}
	for _, v := range answer.Found.Votes {
		votes[v.Service] = v.Votes
	}
	return foundOn{
		host:  host,
		state: answer.Found.State,
		votes: votes,
		ok:    true,
	}
}

// ServeFind returns the state of a job on this host, and cancels it here on request.
func (s *Scheduler) ServeFind(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	found := &wire.Found{State: s.findLocally(Query{
		Queue: queueFromWire(f.Find.Queue),
		ID:    f.Find.Job,
	}, f.Find.Cancel)}
	if f.Find.Cancel {
		for _, shard := range s.all() {
			votes, _ := shard.votes()
			found.Votes = append(found.Votes, wire.Votes{
				Service: shard.service,
				Votes:   votes,
			})
		}
	}
	return wire.Frame{Found: found}, true
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

// canceled returns the jobs with one of the IDs whose cancelling was requested.
func (s *Scheduler) canceled(ids []string) []wire.Canceled {
	s.mu.Lock()
	names := s.cancellations.Named(s.config.Now(), ids)
	s.mu.Unlock()
	var canceled []wire.Canceled
	for _, name := range names {
		canceled = append(canceled, wire.Canceled{
			Queue: name.Queue,
			Job:   name.ID,
		})
	}
	return canceled
}

// cancelLocally cancels jobs whose cancelling was requested at another host.
func (s *Scheduler) cancelLocally(canceled []wire.Canceled) {
	for _, job := range canceled {
		state := s.findLocally(Query{
			Queue: job.Queue,
			ID:    job.Job,
		}, true)
		s.config.Log.Info("canceled elsewhere", "job", job.Job, "state", state)
	}
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
