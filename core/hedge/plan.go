package hedge

import "time"

// Limits are the limits of one call.
type Limits struct {
	Answer   time.Duration // time for an answer, after a wait that was asked for
	Attempts int           // including the first one
	OwnDelay time.Duration // longest time by which this process's own delay puts off an attempt
}

// minOwnDelay is the delay from which this process counts as late. Timers are as late as that on
// an idle machine.
const minOwnDelay = 5 * time.Millisecond

// Plan is the immutable plan of one call.
type Plan struct {
	limits   Limits
	wait     time.Duration // that the first attempt asks for; the others ask for an answer at once
	sent     int           // attempts
	extended bool          // the latest attempt was given more time
	extra    time.Duration // that time
}

// New returns the plan of a call whose first attempt is sent now, and answered after a wait.
func New(l Limits, wait time.Duration) Plan {
	return Plan{
		limits: l,
		wait:   wait,
		sent:   1,
	}
}

// Timeout returns the time until the latest attempt is overdue, from when it was sent or, after
// an Extend, from the present.
func (p Plan) Timeout() time.Duration {
	switch {
	case p.extended:
		return p.extra
	case p.sent == 1:
		return p.wait + p.limits.Answer
	default:
		return p.limits.Answer
	}
}

// Step is what to do when an attempt is overdue: Extend, Repeat or GiveUp.
type Step interface{ isStep() }

// Extend waits longer for the latest attempt, as its answer may have arrived unread.
type Extend struct{}

// Repeat sends another attempt.
type Repeat struct{}

// GiveUp ends the call without an answer.
type GiveUp struct{}

func (Extend) isStep() {}
func (Repeat) isStep() {}
func (GiveUp) isStep() {}

// WithOverdue returns the plan after the latest attempt was found overdue by a process that was
// late by ownDelay since that attempt was due, and the next step.
func (p Plan) WithOverdue(ownDelay time.Duration) (Plan, Step) {
	switch {
	case ownDelay > minOwnDelay && !p.extended && p.limits.OwnDelay > 0:
		p.extended, p.extra = true, min(ownDelay, p.limits.OwnDelay)
		return p, Extend{}
	case p.sent >= p.limits.Attempts:
		return p, GiveUp{}
	default:
		p.sent++
		p.extended, p.extra = false, 0
		return p, Repeat{}
	}
}
