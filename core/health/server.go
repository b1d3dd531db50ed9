package health

import "time"

// State determines whether a server may receive tasks.
type State uint8

// The states of a server.
const (
	Up      State = iota // may receive tasks
	Ejected              // receives no tasks until its backoff has passed
	Probing              // may receive a single task that tests it
)

// Limits sets when a server is ejected and for how long.
type Limits struct {
	FailureThreshold int           // consecutive failures after which a server is ejected
	InitialBackoff   time.Duration // length of the first ejection; doubled for each further one
	MaxBackoff       time.Duration // longest ejection
}

// Server is the health of one backend server. It is immutable.
type Server struct {
	limits       Limits
	failures     int
	backoff      time.Duration
	ejectedUntil time.Time
	ejected      bool
	probing      bool
}

// New returns the health of a server that is up.
func New(limits Limits) Server { return Server{limits: limits} }

// State returns whether the server may receive tasks at the given time.
func (s Server) State(now time.Time) State {
	switch {
	case !s.ejected:
		return Up
	case s.probing || now.Before(s.ejectedUntil):
		return Ejected
	}
	return Probing
}

// WithStart records that a task was sent. While a server is being probed, no
// second task is sent.
func (s Server) WithStart(now time.Time) Server {
	s.probing = s.State(now) == Probing
	return s
}

// WithSuccess records a success, which resets failures and backoff.
func (s Server) WithSuccess() Server { return New(s.limits) }

// WithInconclusive ends a probe whose result says nothing about the server.
func (s Server) WithInconclusive() Server {
	s.probing = false
	return s
}

// WithFailure records a failure and ejects the server after too many consecutive
// ones.
func (s Server) WithFailure(now time.Time) Server {
	s.failures++
	s.probing = false
	if s.failures < s.limits.FailureThreshold {
		return s
	}
	// Failures of tasks sent before the ejection don't prolong it.
	if s.ejected && now.Before(s.ejectedUntil) {
		return s
	}
	s.backoff = min(max(s.limits.InitialBackoff, 2*s.backoff), s.limits.MaxBackoff)
	s.ejectedUntil = now.Add(s.backoff)
	s.ejected = true
	return s
}
