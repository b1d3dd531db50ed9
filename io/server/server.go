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
	name string
	http *http.Server
	log  logr.Logger
}

// New returns a listener that isn't started.
func New(name, address string, handler http.Handler, log logr.Logger) *Server {
	return &Server{
		name: name,
		log:  log.WithName(name),
		http: &http.Server{
			Addr:              address,
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		},
	}
}

// Start opens the listener, so that an address in use fails at once.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.http.Addr)
	if err != nil {
		return errors.Annotatef(err, "listen for %s", s.name)
	}
	s.log.Info("listening", "address", listener.Addr().String())
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error(err, "listener failed")
		}
	}()
	return nil
}

// Shutdown stops accepting and waits until no request is in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Annotatef(s.http.Shutdown(ctx), "shut down %s", s.name)
}

// Close ends the listener and its connections at once.
func (s *Server) Close() { _ = s.http.Close() }
