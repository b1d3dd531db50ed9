package health

import "time"

// State is what a server may be used for.
type State uint8

// The states of a server.
const (
	Up      State = iota // takes work
	Ejected              // takes none until its backoff passes
	Probing              // has one task to prove itself with
)

// Limits sets when a server is ejected and for how long.
type Limits struct {
	FailureThreshold int           // failures in a row that eject
	Backoff          time.Duration // first ejection; each further one doubles it
	MaxBackoff       time.Duration // longest ejection
}

// Server is the health of one backend server, an immutable value.
type Server struct {
	limits   Limits
	failures int
	backoff  time.Duration
	until    time.Time
	ejected  bool
	probing  bool
}

// New returns a server that is up.
func New(limits Limits) Server { return Server{limits: limits} }

// State returns what the server may be used for now.
func (s Server) State(now time.Time) State {
	switch {
	case !s.ejected:
		return Up
	case s.probing || now.Before(s.until):
		return Ejected
	}
	return Probing
}

// WithStart notes that a task was sent; during probing no second one follows.
func (s Server) WithStart(now time.Time) Server {
	s.probing = s.State(now) == Probing
	return s
}

// WithSuccess returns the server up again.
func (s Server) WithSuccess() Server { return New(s.limits) }

// WithDrop ends a probe that told nothing.
func (s Server) WithDrop() Server {
	s.probing = false
	return s
}

// WithFailure counts a failure and ejects after too many in a row.
func (s Server) WithFailure(now time.Time) Server {
	s.failures++
	s.probing = false
	if s.failures < s.limits.FailureThreshold {
		return s
	}
	// Answers of tasks sent before the ejection don't prolong it.
	if s.ejected && now.Before(s.until) {
		return s
	}
	s.backoff = min(max(s.limits.Backoff, 2*s.backoff), s.limits.MaxBackoff)
	s.until = now.Add(s.backoff)
	s.ejected = true
	return s
}
