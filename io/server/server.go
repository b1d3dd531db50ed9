package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Server is an HTTP listener.
type Server struct {
	name    string
	guard   *Guard
	http    *http.Server
	tracker *connTracker
	log     logr.Logger

	listener listener
	stopped  chan struct{} // closed once no connection is accepted any more
}

// New returns a Server that isn't started.
func New(name, address string, handler http.Handler, guard *Guard, log logr.Logger) *Server {
	a := &connTracker{conns: map[*conn]connState{}}
	return &Server{
		name:    name,
		guard:   guard,
		tracker: a,
		log:     log.WithName(name),
		http: &http.Server{
			Addr:           address,
			Handler:        guarded(handler),
			MaxHeaderBytes: maxHeadBytes,
			ConnState:      a.track,
			ConnContext:    withConn,
		},
		stopped: make(chan struct{}),
	}
}

// Start opens the listener synchronously, so that an address in use is reported as an
// error.
func (s *Server) Start() error {
	listener, err := listen(s.http.Addr, s.guard)
	if err != nil {
		return errors.Annotatef(err, "listen for %s", s.name)
	}
	s.listener = listener
	s.log.Info("listening", "address", listener.Addr().String())
	go func() {
		defer close(s.stopped)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error(err, "listener failed")
		}
	}()
	return nil
}

// drainPollInterval is how often Drain checks for requests in progress.
const drainPollInterval = 5 * time.Millisecond

// Drain stops accepting connections, apart from those that the operating system has already
// accepted, and serves every request whose first byte has arrived, until none is in progress
// or ctx ends; it reports whether none was left. http.Server.Shutdown doesn't suffice: it closes a
// connection without a response if it reads a request on it after the call.
func (s *Server) Drain(ctx context.Context) bool {
	s.listener.stop()
	accepted := false
	select {
	case <-s.stopped:
		accepted = true
	case <-ctx.Done():
	}
	busy, fresh := s.tracker.count()
	for busy+fresh > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
		busy, fresh = s.tracker.count()
	}
	for busy = s.tracker.closeIdle(); busy > 0 && ctx.Err() == nil; busy = s.tracker.closeIdle() {
		time.Sleep(drainPollInterval)
	}
	s.Close()
	return accepted && busy == 0
}

// Close closes the listener and its connections immediately.
func (s *Server) Close() { _ = s.http.Close() }
