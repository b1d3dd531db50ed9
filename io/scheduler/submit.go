package scheduler

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/confirm"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/wire"
)

// maxHomeAttempts is how many homes a job is submitted to while they are unreachable.
const maxHomeAttempts = 3

// Do submits a job to its home and returns its outcome; ok is false if ctx ended first,
// and the caller gets no answer. Near the deadline the caller is answered even if the
// home is silent. A job whose deadline has passed by then isn't submitted.
func (s *Scheduler) Do(ctx context.Context, job work.Job) (outcome work.Outcome, ok bool) {
	left := job.Deadline.Add(-AnswerMargin).Sub(s.config.Now())
	if left <= 0 {
		return work.Outcome{
			State:      work.Refused,
			Reason:     core.ReasonDeadline,
			RetryAfter: lateRetryAfter,
		}, true
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	outcome, ok = s.submit(bounded, job)
	if ok || ctx.Err() != nil {
		return outcome, ok
	}
	return work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonDeadline,
		Home:   outcome.Home,
	}, true
}

// AnswerMargin is the time that an answer needs to reach its caller before the caller's
// deadline.
const AnswerMargin = 20 * time.Millisecond

// lateRetryAfter is the retry delay returned to callers whose requests came too late.
const lateRetryAfter = 100 * time.Millisecond

func (s *Scheduler) submit(ctx context.Context, job work.Job) (outcome work.Outcome, ok bool) {
	overloaded := !s.load.admit()
	if !overloaded {
		defer s.load.ended()
	}
	for range maxHomeAttempts {
		home, found := s.plan(job.Service).Home(job.ID, s.config.Roster.Self().Domain)
		if !found || home.Address == s.config.Self {
			outcome, ok = s.coordinate(ctx, schedule.SubmitMsg{
				Job:        job,
				Overloaded: overloaded,
			}, 0)
			outcome.Home = cmp.Or(outcome.Home, s.config.Self)
			return outcome, ok
		}
		if overloaded && job.First {
			// The home may have any other job already.
			outcome = schedule.OverloadOutcome()
			outcome.Home = s.config.Self
			return outcome, true
		}
		outcome, err := s.forward(ctx, home.Address, job, false)
		outcome.Home = home.Address
		switch {
		case ctx.Err() != nil:
			go s.sendDrop(home.Address, job)
			return outcome, false
		case errors.Is(err, peer.ErrNoLink):
			s.config.Counters.Retried(core.ReasonUnreachable)
			s.config.Roster.MarkNotListening(home.Address)
			continue
		case err != nil:
			s.config.Log.Info("connection to home lost", "job", job.ID, "home", home.Address, "age", s.config.Now().Sub(job.Arrived).String(), "error", err.Error())
			return work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonLink,
				Home:   home.Address,
			}, true
		}
		return outcome, true
	}
	return work.Outcome{
		State:      work.Refused,
		Reason:     core.ReasonHome,
		RetryAfter: noHomeRetryAfter,
	}, true
}

// noHomeRetryAfter is the retry delay returned to callers while no home is reachable.
const noHomeRetryAfter = time.Second

// forward submits a job to another host. With joinOnly that host doesn't start the job.
func (s *Scheduler) forward(ctx context.Context, home string, job work.Job, joinOnly bool) (work.Outcome, error) {
	answer, repeated, err := callWithRetry(ctx, s.config.Reattach, func(repeated bool) (wire.Frame, error) {
		submit := jobToWire(job, s.config.Now())
		submit.Again, submit.Join = repeated, joinOnly
		return s.config.Peers.Call(ctx, home, wire.Frame{Submit: submit})
	})
	if err != nil {
		return work.Outcome{}, err
	}
	if answer.Outcome == nil {
		return work.Outcome{}, errors.New("malformed answer from home: no outcome")
	}
	outcome := work.Outcome{
		State:      work.State(answer.Outcome.State),
		Reason:     core.Reason(answer.Outcome.Reason),
		RetryAfter: time.Duration(answer.Outcome.Retry) * time.Millisecond,
	}
	if repeated && (outcome.State == work.Refused || outcome.State == work.Absent) {
		// A restarted home doesn't know the first call, but tasks may have run
		// because of it.
		outcome.State, outcome.Reason = work.Broken, cmp.Or(outcome.Reason, core.ReasonLink)
	}
	return outcome, nil
}

// sendDrop tells a home that no caller waits for a job any more.
func (s *Scheduler) sendDrop(home string, job work.Job) {
	s.send(home, wire.Frame{Halt: &wire.Halt{
		Service: job.Service,
		Queue:   &job.Queue,
		Job:     job.ID,
	}})
}

// ServeSubmit coordinates a job that another host accepted.
func (s *Scheduler) ServeSubmit(ctx context.Context, f wire.Frame) (wire.Frame, bool) {
	if isWithdrawn(ctx) {
		return wire.Frame{}, false
	}
	job := jobFromWire(f.Submit, s.config.Now())
	job.Received = received(f.Submit, peer.Sent(ctx))
	overloaded := !f.Submit.Join && !s.load.admit()
	if !f.Submit.Join && !overloaded {
		defer s.load.ended()
	}
	outcome, ok := s.coordinate(ctx, schedule.SubmitMsg{
		Job:         job,
		Remote:      true,
		Resubmitted: f.Submit.Again,
		JoinOnly:    f.Submit.Join,
		Overloaded:  overloaded,
	}, s.config.Reattach)
	return wire.Frame{Outcome: &wire.Outcome{
		State:  string(outcome.State),
		Reason: string(outcome.Reason),
		Retry:  int(outcome.RetryAfter.Milliseconds()),
	}}, ok
}

func jobToWire(j work.Job, now time.Time) *wire.Submit {
	resent := !j.First
	submit := &wire.Submit{
		Job:      j.ID,
		Queue:    &j.Queue,
		Route:    j.Route,
		Service:  j.Service,
		Spec:     j.Spec,
		Attempts: j.MaxAttempts,
		Priority: j.Priority,
		Stretch:  j.Stretch,
		Slack:    int(j.Slack.Microseconds()),
		Age:      int(now.Sub(j.Arrived).Microseconds()),
		Held:     held(now, j),
		Resent:   &resent,
		First:    &j.First,
		Left:     int(j.Deadline.Sub(now).Microseconds()),
		Version:  j.Version,
	}
	for _, step := range j.Steps {
		submit.Steps = append(submit.Steps, wire.Step{
			Count:    step.Count,
			Size:     sizeToWire(step.Size),
			Estimate: int(step.Estimate.Microseconds()),
			After:    step.DependsOn,
			Requires: step.Requires,
			Affinity: step.Affinity,
			Apart:    step.MaxPerServer,
		})
	}
	return submit
}

// held returns the time since an attempt at a job was received, rounded up. The age of the
// whole job stands for it if it is unknown.
func held(now time.Time, j work.Job) *int {
	received := j.Received
	if received.IsZero() {
		received = j.Arrived
	}
	microseconds := int(now.Sub(received).Microseconds()) + 1
	return &microseconds
}

// received returns a time at or before which the host that received an attempt from the
// caller did so.
func received(s *wire.Submit, sent time.Time) time.Time {
	held := s.Age
	if s.Held != nil {
		held = *s.Held
	}
	return confirm.Before(sent, microseconds(held))
}

func jobFromWire(s *wire.Submit, now time.Time) work.Job {
	job := work.Job{
		ID:          s.Job,
		Queue:       queueFromWire(s.Queue),
		Route:       s.Route,
		Service:     s.Service,
		Spec:        s.Spec,
		MaxAttempts: s.Attempts,
		Priority:    s.Priority,
		Stretch:     s.Stretch,
		Slack:       microseconds(s.Slack),
		Arrived:     now.Add(-microseconds(s.Age)),
		First:       s.First != nil && *s.First,
		Deadline:    now.Add(microseconds(s.Left)),
		Version:     s.Version,
	}
	for _, step := range s.Steps {
		job.Steps = append(job.Steps, work.Step{
			Count:        step.Count,
			Size:         sizeFromWire(step.Size),
			Estimate:     microseconds(step.Estimate),
			DependsOn:    step.After,
			Requires:     step.Requires,
			Affinity:     step.Affinity,
			MaxPerServer: step.Apart,
		})
	}
	return job
}
