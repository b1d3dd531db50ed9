package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// TestConnectionsReturned replays clients that fill a listener. An ordinary request must still be
// served.
func TestConnectionsReturned(t *testing.T) {
	const slots, clients = 3, 8
	readAll := func(w http.ResponseWriter, r *http.Request) { _, _ = ReadBody(w, r, 1<<10) }
	tests := []struct {
		name    string
		handler http.HandlerFunc
		sent    string
	}{
		{
			name: "taken over by the handler, and closed",
			handler: func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Upgrade") == "" {
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				assert.Check(t, err)
				assert.Check(t, conn.Close())
			},
			sent: "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: x\r\n\r\n",
		},
		{
			name:    "small bodies that stop short of their end",
			handler: readAll,
			sent:    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx",
		},
		{
			name:    "bodies that nobody reads",
			handler: func(http.ResponseWriter, *http.Request) {},
			sent:    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			guard := NewGate(1<<20, prometheus.NewRegistry(), logr.Discard()).Guard(slots, func() Limits { return testLimits })
			s := &testServer{Server: New("test", "127.0.0.1:0", test.handler, guard, logr.Discard())}
			assert.NilError(t, s.Start())
			defer s.Close()
			for range clients {
				s.open(t).send(t, test.sent)
				time.Sleep(10 * drainPollInterval)
			}
			c := s.open(t)
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			c.ask(t, "/")
			c.answer(t)
		})
	}
}
