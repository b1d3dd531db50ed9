package server

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"rosemarywalk/core/intake"
)

// Limits bounds what one client may send and how long it may take.
type Limits struct {
	HeadBytes   int           // of a request's header, with its first line
	HeadTimeout time.Duration // from the first byte of a header to its end
	BodyTimeout time.Duration // without a byte of a body
	IdleTimeout time.Duration // of a connection without a request
}

// closeCause is why the server closed a connection.
type closeCause string

// The causes are the values of the metric's cause label.
const (
	causeHead        closeCause = "head"        // a header over the limit
	causeHeadTimeout closeCause = "headtimeout" // a header that was not complete in time
	causeBodyTimeout closeCause = "bodytimeout" // a body that stood still
	causeIdle        closeCause = "idle"        // no request
	causeMemory      closeCause = "memory"      // the requests being read hold too many bytes
	causeConnections closeCause = "connections" // the listener has too many connections
)

// Gate limits the memory and the connections that the clients of all listeners of the process
// hold.
type Gate struct {
	log    logr.Logger
	closed *prometheus.CounterVec

	mu       sync.Mutex
	budget   *intake.Budget[*conn]
	unlogged map[closeCause]int // connections closed since the last log line
	loggedAt map[closeCause]time.Time
}

// NewGate returns a Gate whose clients' requests may hold so many bytes while they are read,
// and registers its metrics; 0 sets no limit.
func NewGate(bytes int64, r prometheus.Registerer, log logr.Logger) *Gate {
	g := &Gate{
		log: log.WithName("intake"),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "rosemarywalk",
			Name:      "closed_connections_total",
			Help:      "Clients' connections closed by this host for its limits.",
		}, []string{"cause"}),
		budget:   intake.NewBudget[*conn](bytes),
		unlogged: map[closeCause]int{},
		loggedAt: map[closeCause]time.Time{},
	}
	for _, cause := range []closeCause{causeHead, causeHeadTimeout, causeBodyTimeout, causeIdle, causeMemory, causeConnections} {
		g.closed.WithLabelValues(string(cause))
	}
	r.MustRegister(g.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "rosemarywalk",
		Name:      "request_bytes",
		Help:      "Bytes held by requests that are being read.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.budget.Held())
	}))
	return g
}

// Guard applies a Gate to the connections of one listener.
type Guard struct {
	gate   *Gate
	limits func() Limits
	slots  *intake.Slots[*conn]

	lingering atomic.Int64

	smallBuffers bool
}

// LimitBuffers limits the unread bytes of each connection, for a listener whose requests are
// small. It must be called before the listener is started.
func (g *Guard) LimitBuffers() { g.smallBuffers = true }

// Guard returns a Guard for a listener with at most so many connections; 0 sets no limit.
// Limits are read at each request.
func (g *Gate) Guard(connections int, limits func() Limits) *Guard {
	return &Guard{
		gate:   g,
		limits: limits,
		slots:  intake.NewSlots[*conn](connections),
	}
}

// logInterval is the minimum time between log lines about one cause.
const logInterval = 5 * time.Second

// count counts a closed connection. The lock must be held.
func (g *Gate) count(cause closeCause, c *conn) {
	g.closed.WithLabelValues(string(cause)).Inc()
	if cause == causeIdle {
		return
	}
	g.unlogged[cause]++
	now := time.Now()
	if now.Sub(g.loggedAt[cause]) < logInterval {
		return
	}
	g.log.Info("connections closed", "cause", string(cause), "connections", g.unlogged[cause], "client", c.address,
		"listener", c.LocalAddr().String(), "held", g.budget.Held())
	g.unlogged[cause], g.loggedAt[cause] = 0, now
}

// countClosed counts a closed connection.
func (g *Guard) countClosed(cause closeCause, c *conn) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.gate.count(cause, c)
}

// open admits a new connection, and reports whether there is room for it.
func (g *Guard) open(c *conn) bool {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	now := time.Now()
	for g.slots.Full() {
		victim, found := g.slots.Dispensable()
		switch {
		case !found:
			g.gate.count(causeConnections, c)
			return false
		case victim.phase() == intake.Waiting && victim.received() > victim.answered.Load():
			// A request has arrived on it, and would be lost.
			g.slots.Set(victim, intake.Serving, now)
		default:
			g.slots.Close(victim)
			g.evict(victim, causeConnections)
			if victim.serving.Load() {
				// A response to an incomplete request would keep the descriptor for a while.
				_ = victim.TCPConn.Close()
			}
		}
	}
	g.slots.Add(c, c.address, now)
	return true
}

// evict ends the reading of a connection. The gate's lock must be held.
func (g *Guard) evict(victim *conn, cause closeCause) {
	g.gate.budget.Drop(victim)
	g.gate.count(cause, victim)
	victim.interrupt()
}

// take takes n bytes for a connection's request, and reports whether it got them.
func (g *Guard) take(c *conn, n int) bool {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	if c.interrupted.Load() {
		return false
	}
	evicted, ok := g.gate.budget.Take(c, c.address, int64(n), time.Now())
	for _, victim := range evicted {
		g.evict(victim, causeMemory)
	}
	if !ok {
		g.evict(c, causeMemory)
	}
	return ok
}

// linger counts connections that stay open after a refusal, and reports whether there may be
// one more.
func (g *Guard) linger(n int64) bool {
	if g.lingering.Add(n) <= maxLingering {
		return true
	}
	g.lingering.Add(-n)
	return false
}

// give returns n bytes of a connection's request.
func (g *Guard) give(c *conn, n int) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.gate.budget.Give(c, int64(n), time.Now())
}

// pin protects a connection's request from eviction, or ends that. It reports whether the
// connection was not evicted.
func (g *Guard) pin(c *conn, pinned bool) bool {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	if c.interrupted.Load() {
		return false
	}
	g.gate.budget.Pin(c, pinned)
	phase := intake.Reading
	if pinned {
		phase = intake.Serving
	}
	g.slots.Set(c, phase, time.Now())
	return true
}

// track follows a connection's state; it is called by the http.Server ConnState hook.
func (g *Guard) track(c *conn, state http.ConnState) {
	now := time.Now()
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	switch state {
	case http.StateActive:
		g.slots.Set(c, intake.Serving, now)
		g.gate.budget.Pin(c, true)
		c.serve()
	case http.StateHijacked:
		c.hijacked.Store(true)
		g.gate.budget.Drop(c)
	case http.StateIdle:
		g.slots.Set(c, intake.Waiting, now)
		g.gate.budget.Drop(c)
		c.wait(now)
	case http.StateClosed:
		g.slots.Close(c)
		g.gate.budget.Drop(c)
	}
}

// release gives back the slot of a connection.
func (g *Guard) release(c *conn) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.slots.Close(c)
}

// begin records the first byte of a request.
func (g *Guard) begin(c *conn, now time.Time) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.slots.Set(c, intake.Reading, now)
}

// guarded closes the connections of requests whose memory was taken while their header was
// read. After a response without the whole body, http.Server reads what follows of it: the
// connection may be closed for a new one then.
func guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.interrupted.Load() {
			panic(http.ErrAbortHandler)
		}
		c.complete = r.ContentLength == 0
		next.ServeHTTP(w, r)
		if !c.complete && !c.hijacked.Load() {
			c.guard.pin(c, false)
		}
	})
}
