package scheduler

import (
	"context"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/wire"
)

// announce sends the older unfinished jobs of this host to all other homes.
func (s *Scheduler) announce() {
	for _, shard := range s.all() {
		jobs := shard.announceable()
		if len(jobs) == 0 {
			continue
		}
		frame := wire.Frame{Open: &wire.Open{
			Service: shard.service,
			Host:    s.config.Self,
			Jobs:    jobs,
		}}
		for _, home := range s.plan(shard.service).AllHomes() {
			if home.Address != s.config.Self {
				go s.send(home.Address, frame)
			}
		}
	}
}

func (s *Shard) announceable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.Announceable(s.now())
}

// ServeOpen records the jobs that another home announces.
func (s *Scheduler) ServeOpen(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	s.Shard(f.Open.Service).update(schedule.AnnouncedMsg{
		Host: f.Open.Host,
		Jobs: f.Open.Jobs,
	})
	return wire.Frame{}, false
}

// coordinate submits a job to the shard of its service. A job that another home announced
// is joined there, and started here only if that home doesn't know it.
func (s *Scheduler) coordinate(ctx context.Context, msg schedule.SubmitMsg, dropAfter time.Duration) (outcome work.Outcome, ok bool) {
	shard := s.Shard(msg.Job.Service)
	outcome, ok = shard.Do(ctx, msg, dropAfter)
	if !ok || outcome.State != work.Elsewhere {
		return outcome, ok
	}
	outcome, ok = s.join(ctx, shard, outcome.Home, msg.Job, dropAfter)
	s.logJoin(msg.Job, outcome, ok)
	if !ok || outcome.State != work.Absent {
		return outcome, ok
	}
	msg.Local = true
	return shard.Do(ctx, msg, dropAfter)
}

// join waits for the outcome of a job that another home announced; ok is false if ctx
// ended first or the job was withdrawn. If ctx ended, that home keeps the job for dropAfter,
// so that its caller can reattach.
func (s *Scheduler) join(ctx context.Context, shard *Shard, home string, job work.Job, dropAfter time.Duration) (outcome work.Outcome, ok bool) {
	joinCtx, end := shard.beginJoin(ctx, job.ID)
	defer end()
	outcome, err := s.forward(joinCtx, home, job, true)
	outcome.Home = home
	switch {
	case ctx.Err() != nil:
		time.AfterFunc(dropAfter, func() { s.sendDrop(home, job) })
		return outcome, false
	case joinCtx.Err() != nil:
		go s.sendDrop(home, job)
		return outcome, false
	case err != nil:
		// The job may still run there.
		outcome.State, outcome.Reason = work.Broken, core.ReasonLink
	}
	return outcome, true
}

func (s *Scheduler) logJoin(job work.Job, outcome work.Outcome, ok bool) {
	state := string(outcome.State)
	if !ok {
		state = "caller left"
	}
	s.config.Counters.Joined(state)
	s.config.Log.Info("job joined elsewhere", "job", job.ID, "home", outcome.Home, "age", s.config.Now().Sub(job.Arrived).String(),
		"state", state, "reason", outcome.Reason)
}

// joinCall is a call to the home that announced a job.
type joinCall struct{ cancel context.CancelFunc }

// beginJoin returns the context of a call to the home that announced a job, and a function
// to call when it has ended. The context also ends when the job is withdrawn.
func (s *Shard) beginJoin(ctx context.Context, id string) (joinCtx context.Context, end func()) {
	joinCtx, cancel := context.WithCancel(ctx)
	call := &joinCall{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joins[id] = append(s.joins[id], call)
	return joinCtx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.joins[id] = slices.DeleteFunc(s.joins[id], func(o *joinCall) bool { return o == call })
		if len(s.joins[id]) == 0 {
			delete(s.joins, id)
		}
	}
}

// withdrawJoin ends the call for a job to the home that announced it, unless the job has
// more than one caller.
func (s *Shard) withdrawJoin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if calls := s.joins[id]; len(calls) == 1 {
		calls[0].cancel()
	}
}
