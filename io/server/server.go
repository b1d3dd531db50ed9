package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// headerTimeout ends connections of clients that never send a request.
const headerTimeout = 10 * time.Second

// Server is one HTTP listener.
type Server struct {
	name   string
	http   *http.Server
	active *active
	log    logr.Logger

	listener net.Listener
}

// New returns a listener that isn't started.
func New(name, address string, handler http.Handler, log logr.Logger) *Server {
	a := &active{conns: map[net.Conn]bool{}}
	return &Server{
		name:   name,
		active: a,
		log:    log.WithName(name),
		http: &http.Server{
			Addr:              address,
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ConnState:         a.note,
		},
	}
}

// Start opens the listener, so that an address in use fails at once.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.http.Addr)
	if err != nil {
		return errors.Annotatef(err, "listen for %s", s.name)
	}
	s.listener = listener
	s.log.Info("listening", "address", listener.Addr().String())
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error(err, "listener failed")
		}
	}()
	return nil
}

// drainEvery is how often Drain looks whether requests are left.
const drainEvery = 5 * time.Millisecond

// Drain stops accepting and answers every request that began to arrive, until
// none is left or ctx ends; it reports whether none was. Shutdown would close a
// connection whose request it reads after the call, without an answer.
func (s *Server) Drain(ctx context.Context) bool {
	_ = s.listener.Close()
	for s.active.count() > 0 && ctx.Err() == nil {
		time.Sleep(drainEvery)
	}
	left := s.active.count()
	s.Close()
	return left == 0
}

// Close ends the listener and its connections at once.
func (s *Server) Close() { _ = s.http.Close() }
