package server

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarywalk/io/clock"
)

// TestPeerOpen checks that a connection counts as open until its peer closes or resets it.
func TestPeerOpen(t *testing.T) {
	sendAndClose := func(unread string) func(*net.TCPConn) error {
		return func(conn *net.TCPConn) error {
			if _, err := conn.Write([]byte(unread)); err != nil {
				return err
			}
			return conn.Close()
		}
	}
	tests := []struct {
		name  string
		leave func(*net.TCPConn) error
	}{
		{
			name:  "closed behind a line break",
			leave: sendAndClose("\r\n"),
		},
		{
			name:  "closed behind another request",
			leave: sendAndClose("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		},
		{
			name:  "closed",
			leave: (*net.TCPConn).Close,
		},
		{
			name:  "half closed",
			leave: (*net.TCPConn).CloseWrite,
		},
		{
			name: "reset",
			leave: func(conn *net.TCPConn) error {
				if err := conn.SetLinger(0); err != nil {
					return err
				}
				return conn.Close()
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			requests := make(chan *http.Request, 1)
			done := make(chan struct{})
			s := New("test", "127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				requests <- r
				<-done
			}), newTestGuard(testLimits), logr.Discard())
			assert.NilError(t, s.Start())
			defer s.Close()
			defer close(done)
			conn, err := net.Dial("tcp", s.listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
			assert.NilError(t, err)
			ctx := (<-requests).Context()
			assert.Assert(t, PeerOpen(ctx))
			assert.NilError(t, test.leave(conn.(*net.TCPConn)))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if PeerOpen(ctx) {
					return poll.Continue("still open")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond), poll.WithTimeout(2*time.Second))
		})
	}
}

// TestArrived checks that a request is dated by when it arrived, however late it is read.
func TestArrived(t *testing.T) {
	const tolerance = 100 * time.Millisecond
	tests := []struct {
		name string
		wait time.Duration
		late time.Duration // how much too late the date may be
	}{
		{
			name: "read at once",
			late: longestTick,
		},
		{
			name: "read late",
			wait: 3 * tolerance,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			arrivals := make(chan time.Time, 1)
			s := New("test", "", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				arrivals <- Arrived(r.Context())
			}), newTestGuard(testLimits), logr.Discard())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer s.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			assert.NilError(t, err)
			sent := clock.Now()
			time.Sleep(test.wait)
			go func() { _ = s.http.Serve(listener) }()
			late := (<-arrivals).Sub(sent)
			assert.Assert(t, late <= test.late && late > -tolerance, "dated %s after it was sent", late)
		})
	}
}
