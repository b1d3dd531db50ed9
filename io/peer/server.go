package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/io/clock"
	"rosemarywalk/io/late"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Server accepts links from other hosts.
type Server struct {
	handlers    map[RequestKind]Handler
	pingTimeout time.Duration
	stalls      *stall.Detector
	meter       *late.Meter
	counters    *telemetry.Counters
	log         logr.Logger

	activeCalls atomic.Int64 // calls whose answers aren't written yet

	mu    sync.Mutex
	links map[*link]bool
}

// NewServer returns a server for the given handlers. A link whose peer answers no ping
// within pingTimeout, extended by this host's own delay, while a call is served is closed, which
// cancels the call's context.
// A link is also closed if this process was suspended while it was open, because frames
// that arrived before are out of date.
func NewServer(handlers []Handler, pingTimeout time.Duration, stalls *stall.Detector, meter *late.Meter, counters *telemetry.Counters, log logr.Logger) *Server {
	s := &Server{
		handlers:    map[RequestKind]Handler{},
		pingTimeout: pingTimeout,
		stalls:      stalls,
		meter:       meter,
		counters:    counters,
		log:         log.WithName("peer"),
		links:       map[*link]bool{},
	}
	for _, h := range handlers {
		s.handlers[h.Kind] = h
	}
	return s
}

// ServeHTTP upgrades a request to a link and serves it until it closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		s.log.V(1).Info("WebSocket handshake failed", "error", err.Error())
		return
	}
	l := newLink(conn, r.RemoteAddr, s.pingTimeout, s.meter, s.counters, s.log)
	s.track(l, true)
	defer s.track(l, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.keepAlive()
	calls := newProber(l, r.Header.Get(probesHeader) != "")
	go calls.run()
	stallCount, _ := s.stalls.Observe(clock.Now())
	l.read(func(f wire.Frame) {
		if count, _ := s.stalls.Observe(clock.Now()); count != stallCount {
			l.close(closedByStall)
			return
		}
		if f.Probed != nil {
			calls.apply(f.Probed)
			return
		}
		s.serve(ctx, l, calls, f)
	})
}

func (s *Server) track(l *link, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.links[l] = true
	} else {
		delete(s.links, l)
	}
}

func (s *Server) serve(ctx context.Context, l *link, calls *prober, f wire.Frame) {
	h, ok := s.handlers[requestKind(f)]
	if !ok {
		return
	}
	if h.InOrder {
		s.answer(ctx, l, h, f)
		return
	}
	s.activeCalls.Add(1)
	l.inFlight.Add(1)
	l.wakeKeepAlive()
	go func() {
		defer s.activeCalls.Add(-1)
		defer l.inFlight.Add(-1)
		if !isProbed(f) {
			s.answer(ctx, l, h, f)
			return
		}
		served, confirmed, end := calls.begin(ctx, f)
		defer end()
		select {
		case <-confirmed:
		case <-served.Done():
			if !errors.Is(context.Cause(served), ErrWithdrawn) {
				return
			}
			// The other host may still need to know how an earlier call ended.
		}
		s.answer(served, l, h, f)
	}()
}

func (s *Server) answer(ctx context.Context, l *link, h Handler, f wire.Frame) {
	answer, ok := h.Serve(ctx, f)
	if !ok || f.Id == 0 {
		return
	}
	answer.Id = f.Id
	if err := l.write(answer); err != nil {
		s.log.V(1).Info("answer could not be written to the peer link", "error", err.Error())
	}
}

// WaitIdle waits until every call has been answered, or until ctx ends.
func (s *Server) WaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for s.activeCalls.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// idlePollInterval is the time between WaitIdle's checks for open calls.
const idlePollInterval = 10 * time.Millisecond

// Close closes all links.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.close(closedByShutdown)
	}
}
