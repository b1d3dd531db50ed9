package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/wire"
)

// homesTried is how many homes a job is offered to when none can be reached.
const homesTried = 3

// Do hands a job to its home and returns its outcome; ok is false when ctx
// ended before, and the caller gets no answer. A caller whose deadline comes is told
// so before, whatever became of the home.
func (s *Scheduler) Do(ctx context.Context, job work.Job) (outcome work.Outcome, ok bool) {
	inTime, cancel := context.WithDeadline(ctx, job.Deadline.Add(-answerMargin))
	defer cancel()
	outcome, ok = s.submit(inTime, job)
	if ok || ctx.Err() != nil {
		return outcome, ok
	}
	return work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonDeadline,
		Home:   outcome.Home,
	}, true
}

// answerMargin is the time that an answer needs to reach its caller before the
// caller stops waiting.
const answerMargin = 20 * time.Millisecond

func (s *Scheduler) submit(ctx context.Context, job work.Job) (outcome work.Outcome, ok bool) {
	for range homesTried {
		home, found := s.plan(job.Service).Home(job.ID, s.parts.Roster.Self().Domain)
		if !found || home.Address == s.parts.Self {
			outcome, ok = s.Shard(job.Service).Do(ctx, schedule.SubmitMsg{Job: job}, 0)
			outcome.Home = s.parts.Self
			return outcome, ok
		}
		outcome, err := s.forward(ctx, home.Address, job)
		outcome.Home = home.Address
		switch {
		case ctx.Err() != nil:
			go s.drop(home.Address, job)
			return outcome, false
		case errors.Is(err, peer.ErrNoLink):
			s.parts.Counters.Retried(core.ReasonUnreachable)
			s.parts.Roster.Lost(home.Address)
			continue
		case err != nil:
			s.parts.Log.Info("home lost", "job", job.ID, "home", home.Address, "age", time.Since(job.Arrived).String(), "error", err.Error())
			return work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonLink,
				Home:   home.Address,
			}, true
		}
		return outcome, true
	}
	return work.Outcome{
		State:  work.Refused,
		Reason: core.ReasonHome,
		Retry:  homeRetry,
	}, true
}

// homeRetry is when a caller may come back while no home can be reached.
const homeRetry = time.Second

func (s *Scheduler) forward(ctx context.Context, home string, job work.Job) (work.Outcome, error) {
	answer, repeated, err := again(ctx, s.parts.Reattach, func(repeated bool) (wire.Frame, error) {
		submit := submitOf(job, time.Now())
		submit.Again = repeated
		return s.parts.Peers.Call(ctx, home, wire.Frame{Submit: submit})
	})
	if err != nil {
		return work.Outcome{}, err
	}
	if answer.Outcome == nil {
		return work.Outcome{}, errors.New("answer without an outcome")
	}
	outcome := work.Outcome{
		State:  work.State(answer.Outcome.State),
		Reason: core.Reason(answer.Outcome.Reason),
		Retry:  time.Duration(answer.Outcome.Retry) * time.Millisecond,
	}
	if repeated && outcome.State == work.Refused {
		// A home that restarted knows nothing of the first call, after which
		// tasks may have run.
		outcome.State = work.Broken
	}
	return outcome, nil
}

// drop tells a home that no caller waits for a job.
func (s *Scheduler) drop(home string, job work.Job) {
	s.send(home, wire.Frame{Halt: &wire.Halt{
		Service: job.Service,
		Job:     job.ID,
	}})
}

// ServeSubmit coordinates a job that another host took.
func (s *Scheduler) ServeSubmit(ctx context.Context, f wire.Frame) (wire.Frame, bool) {
	job := jobOf(f.Submit, time.Now())
	outcome, ok := s.Shard(job.Service).Do(ctx, schedule.SubmitMsg{
		Job:    job,
		Remote: true,
		Again:  f.Submit.Again,
	}, s.parts.Reattach)
	return wire.Frame{Outcome: &wire.Outcome{
		State:  string(outcome.State),
		Reason: string(outcome.Reason),
		Retry:  int(outcome.Retry.Milliseconds()),
	}}, ok
}

func submitOf(j work.Job, now time.Time) *wire.Submit {
	submit := &wire.Submit{
		Job:      j.ID,
		Route:    j.Route,
		Service:  j.Service,
		Spec:     j.Spec,
		Attempts: j.Attempts,
		Priority: j.Priority,
		Stretch:  j.Stretch,
		Slack:    int(j.Slack.Microseconds()),
		Age:      int(now.Sub(j.Arrived).Microseconds()),
		Left:     int(j.Deadline.Sub(now).Microseconds()),
		Version:  j.Version,
	}
	for _, step := range j.Steps {
		submit.Steps = append(submit.Steps, wire.Step{
			Count:    step.Count,
			Size:     sizeOf(step.Size),
			Estimate: int(step.Estimate.Microseconds()),
			After:    step.DependsOn,
			Requires: step.Requires,
			Affinity: step.Affinity,
			Apart:    step.PerServer,
		})
	}
	return submit
}

func jobOf(s *wire.Submit, now time.Time) work.Job {
	job := work.Job{
		ID:       s.Job,
		Route:    s.Route,
		Service:  s.Service,
		Spec:     s.Spec,
		Attempts: s.Attempts,
		Priority: s.Priority,
		Stretch:  s.Stretch,
		Slack:    microseconds(s.Slack),
		Arrived:  now.Add(-microseconds(s.Age)),
		Deadline: now.Add(microseconds(s.Left)),
		Version:  s.Version,
	}
	for _, step := range s.Steps {
		job.Steps = append(job.Steps, work.Step{
			Count:     step.Count,
			Size:      sizeFrom(step.Size),
			Estimate:  microseconds(step.Estimate),
			DependsOn: step.After,
			Requires:  step.Requires,
			Affinity:  step.Affinity,
			PerServer: step.Apart,
		})
	}
	return job
}

// Find returns what this host and the others know of a job; cancel cancels it
// wherever it is.
func (s *Scheduler) Find(ctx context.Context, service, id string, cancel bool) (state string) {
	state = s.Shard(service).find(id, cancel)
	others := s.others()
	answers := make(chan string, len(others))
	for _, address := range others {
		go func() { answers <- s.ask(ctx, address, service, id, cancel) }()
	}
	for range others {
		if answer := <-answers; state == "" {
			state = answer
		}
	}
	return state
}

// others returns the addresses of the other hosts that are heard or that the store
// shows alive; a host that has just started hasn't heard all of them yet.
func (s *Scheduler) others() []string {
	view := s.parts.Roster.View(nil)
	var addresses []string
	for _, h := range view.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, h := range view.Known {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == s.parts.Self })
}

func (s *Scheduler) ask(ctx context.Context, host, service, id string, cancel bool) string {
	ctx, done := context.WithTimeout(ctx, sendTimeout)
	defer done()
	answer, err := s.parts.Peers.Call(ctx, host, wire.Frame{Find: &wire.Find{
		Job:     id,
		Service: service,
		Cancel:  cancel,
	}})
	if err != nil || answer.Found == nil {
		return ""
	}
	return answer.Found.State
}

// ServeFind tells what this host knows of a job.
func (s *Scheduler) ServeFind(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Found: &wire.Found{
		State: s.Shard(f.Find.Service).find(f.Find.Job, f.Find.Cancel),
	}}, true
}

func (s *Shard) find(id string, cancel bool) string {
	s.mu.Lock()
	state, _ := s.jobs.State(id)
	s.mu.Unlock()
	if cancel {
		s.update(schedule.CancelMsg{ID: id})
	}
	return state
}
