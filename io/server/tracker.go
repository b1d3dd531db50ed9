package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestWait is how long a drain waits for the first request of a connection, from
// when it was accepted: its caller may be about to send it.
const firstRequestWait = 500 * time.Millisecond

// connTracker tracks the open connections.
type connTracker struct {
	mu    sync.Mutex
	conns map[*conn]connState
}

type connState struct {
	accepted time.Time
	active   bool // the server has read the header of a request that it hasn't answered
}

// track updates a connection's state; it is an http.Server ConnState hook.
func (a *connTracker) track(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	c.guard.track(c, state)
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.conns[c]
	switch state {
	case http.StateNew:
		a.conns[c] = connState{accepted: time.Now()}
	case http.StateActive:
		a.conns[c] = connState{
			accepted: known.accepted,
			active:   true,
		}
	case http.StateIdle:
		c.answered.Store(c.read.Load())
		a.conns[c] = connState{accepted: known.accepted}
	case http.StateHijacked, http.StateClosed:
		delete(a.conns, c)
	}
}

// count returns the number of connections with a request in progress, from the arrival of
// its first byte until its response is written, and the number of those whose first
// request may be about to arrive.
func (a *connTracker) count() (busy, fresh int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, state := range a.conns {
		switch received := c.received(); {
		case state.active || received > c.answered.Load():
			busy++
		case received == 0 && time.Since(state.accepted) < firstRequestWait:
			fresh++
		}
	}
	return busy, fresh
}

// closeIdle closes the connections without a request in progress, each right after it was
// checked, and returns the number of the others. Closing all at once would take a slow host so
// long that requests arrive on the last ones meanwhile.
func (a *connTracker) closeIdle() (busy int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, state := range a.conns {
		if state.active || c.received() > c.answered.Load() {
			busy++
			continue
		}
		_ = c.Close()
		delete(a.conns, c)
	}
	return busy
}
