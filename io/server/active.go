package server

import (
	"net"
	"net/http"
	"sync"
)

// active counts the connections that carry a request: from its first byte on
// until its answer is written.
type active struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// note follows a connection's state.
func (a *active) note(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		a.conns[conn] = true
	case http.StateNew, http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(a.conns, conn)
	}
}

func (a *active) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
