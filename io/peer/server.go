package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"

	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Server takes links from other hosts.
type Server struct {
	handlers map[RequestKind]Handler
	silence  time.Duration
	stalls   *stall.Detector
	counters *telemetry.Counters
	log      logr.Logger

	active atomic.Int64 // calls whose answers aren't written yet

	mu    sync.Mutex
	links map[*link]bool
}

// NewServer returns a server for the given handlers; a link that stays silent
// while a call is served is closed, and the call's context ends. So is a link over
// which this process stood still: what it carried before is out of date.
func NewServer(handlers []Handler, silence time.Duration, stalls *stall.Detector, counters *telemetry.Counters, log logr.Logger) *Server {
	s := &Server{
		handlers: map[RequestKind]Handler{},
		silence:  silence,
		stalls:   stalls,
		counters: counters,
		log:      log.WithName("peer"),
		links:    map[*link]bool{},
	}
	for _, h := range handlers {
		s.handlers[h.Kind] = h
	}
	return s
}

// ServeHTTP turns a request into a link and serves it until it breaks.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		s.log.V(1).Info("link refused", "error", err.Error())
		return
	}
	l := newLink(conn, s.silence, s.counters)
	s.track(l, true)
	defer s.track(l, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.watch()
	stood, _ := s.stalls.Count(time.Now())
	l.read(func(f wire.Frame) {
		if count, _ := s.stalls.Count(time.Now()); count != stood {
			l.close()
			return
		}
		s.serve(ctx, l, f)
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

func (s *Server) serve(ctx context.Context, l *link, f wire.Frame) {
	h, ok := s.handlers[partOf(f)]
	if !ok {
		return
	}
	if h.InOrder {
		s.answer(ctx, l, h, f)
		return
	}
	s.active.Add(1)
	l.serving.Add(1)
	l.use()
	go func() {
		defer s.active.Add(-1)
		defer l.serving.Add(-1)
		s.answer(ctx, l, h, f)
	}()
}

func (s *Server) answer(ctx context.Context, l *link, h Handler, f wire.Frame) {
	answer, ok := h.Serve(ctx, f)
	if !ok || f.Id == 0 {
		return
	}
	answer.Id = f.Id
	if err := l.write(answer); err != nil {
		s.log.V(1).Info("answer not delivered", "error", err.Error())
	}
}

// Finish waits until every call has its answer, or until ctx ends.
func (s *Server) Finish(ctx context.Context) {
	ticker := time.NewTicker(finishEvery)
	defer ticker.Stop()
	for s.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// finishEvery is how often Finish looks whether calls are open.
const finishEvery = 10 * time.Millisecond

// Close ends all links.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.close()
	}
}
