package server

import (
	"net"
	"net/http"
	"sync"
)

// connTracker tracks the connections with a request in progress: from its first byte
// until its response is written.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// track updates a connection's state; it is an http.Server ConnState hook.
func (a *connTracker) track(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		a.conns[conn] = true
	case http.StateNew, http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(a.conns, conn)
	}
}

func (a *connTracker) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
