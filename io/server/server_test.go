package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// testServer is a started server that answers every request; one for /slow not before
// release is closed.
type testServer struct {
	*Server
	release chan struct{}
}

func newTestServer() *testServer {
	release := make(chan struct{})
	return &testServer{
		Server: New("test", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			_, _ = fmt.Fprint(w, "answer")
		}), newTestGuard(testLimits), logr.Discard()),
		release: release,
	}
}

// drain starts a drain and returns where its result arrives.
func (s *testServer) drain(ctx context.Context) <-chan bool {
	drained := make(chan bool, 1)
	go func() { drained <- s.Drain(ctx) }()
	time.Sleep(10 * drainPollInterval)
	return drained
}

// testCaller is a caller's connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) open(t *testing.T) testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return testCaller{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

func (c testCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

func (c testCaller) ask(t *testing.T, path string) {
	t.Helper()
	c.send(t, "GET "+path+" HTTP/1.1\r\nHost: test\r\n\r\n")
}

func (c testCaller) answer(t *testing.T) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
}

// TestDrain checks that a request that arrives on an open connection during a drain is
// answered while another request is still in progress.
func TestDrain(t *testing.T) {
	s := newTestServer()
	assert.NilError(t, s.Start())
	slow, idle := s.open(t), s.open(t)
	slow.ask(t, "/slow")
	idle.ask(t, "/")
	idle.answer(t)
	time.Sleep(10 * drainPollInterval)
	drained := s.drain(t.Context())
	idle.ask(t, "/")
	idle.answer(t)
	select {
	case <-drained:
		t.Error("drained with a request in progress")
	default:
	}
	close(s.release)
	slow.answer(t)
	assert.Assert(t, <-drained)
}

// TestDrainUnaccepted: connections that the operating system had accepted, but the server
// had not yet, were reset when a drain began.
func TestDrainUnaccepted(t *testing.T) {
	s := newTestServer()
	withConn := s.http.ConnContext
	accept := make(chan struct{})
	s.http.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		<-accept
		return withConn(ctx, conn)
	}
	assert.NilError(t, s.Start())
	callers := make([]testCaller, 20)
	for i := range callers {
		callers[i] = s.open(t)
		callers[i].ask(t, "/")
	}
	drained := s.drain(t.Context())
	close(accept)
	for _, c := range callers {
		c.answer(t)
	}
	assert.Assert(t, <-drained)
	_, err := net.Dial("tcp", s.listener.Addr().String())
	assert.ErrorContains(t, err, "refused")
}

// TestDrainUnread: a drain closed connections whose next request the server had not read,
// or not read completely.
func TestDrainUnread(t *testing.T) {
	const begin, end = "GET / HTTP/1.1\r\nHo", "st: test\r\n\r\n"
	tests := []struct {
		name          string
		kept          bool // the connection has had a request
		stuck         bool // the server reads nothing until the drain has begun
		before, after string
	}{
		{
			name:  "first request follows",
			after: begin + end,
		},
		{
			name:   "first request in part",
			before: begin,
			after:  end,
		},
		{
			name:   "next request in part",
			kept:   true,
			before: begin,
			after:  end,
		},
		{
			name:   "next request unread",
			kept:   true,
			stuck:  true,
			before: begin + end,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer()
			track := s.http.ConnState
			read := make(chan struct{})
			s.http.ConnState = func(conn net.Conn, state http.ConnState) {
				track(conn, state)
				if test.stuck && state == http.StateIdle {
					<-read
				}
			}
			assert.NilError(t, s.Start())
			c := s.open(t)
			if test.kept {
				c.ask(t, "/")
				c.answer(t)
			}
			c.send(t, test.before)
			time.Sleep(10 * drainPollInterval)
			drained := s.drain(t.Context())
			c.send(t, test.after)
			close(read)
			c.answer(t)
			assert.Assert(t, <-drained)
		})
	}
}

// TestUnreadUncounted: where the operating system doesn't count the bytes that it receives, a
// connection with an unread request counted as idle, and a drain closed it.
func TestUnreadUncounted(t *testing.T) {
	tests := []struct {
		name string
		sent string
		busy int
	}{
		{
			name: "idle",
		},
		{
			name: "request unread",
			sent: "GET / HTTP/1.1\r\nHost: test\r\n\r\n",
			busy: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := listen("127.0.0.1:0", newTestGuard(testLimits))
			assert.NilError(t, err)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer caller.Close()
			accepted, err := l.Accept()
			assert.NilError(t, err)
			defer accepted.Close()
			_, err = io.WriteString(caller, test.sent)
			assert.NilError(t, err)
			time.Sleep(10 * drainPollInterval)
			c := accepted.(*conn)
			c.counted = func(int) uint64 { return 0 }
			tracker := connTracker{conns: map[*conn]connState{c: {}}}
			busy, _ := tracker.count()
			assert.Equal(t, busy, test.busy)
			assert.Equal(t, tracker.closeIdle(), test.busy)
			assert.Equal(t, len(tracker.conns), test.busy)
		})
	}
}

// TestDrainIdle checks that connections without a request hold up a drain only briefly.
func TestDrainIdle(t *testing.T) {
	s := newTestServer()
	assert.NilError(t, s.Start())
	kept := s.open(t)
	kept.ask(t, "/")
	kept.answer(t)
	s.open(t)
	began := time.Now()
	assert.Assert(t, <-s.drain(t.Context()))
	assert.Assert(t, time.Since(began) < 2*firstRequestWait)
}

// TestDrainLimit checks that a drain ends with its context.
func TestDrainLimit(t *testing.T) {
	s := newTestServer()
	defer close(s.release)
	assert.NilError(t, s.Start())
	s.open(t).ask(t, "/slow")
	time.Sleep(10 * drainPollInterval)
	ctx, cancel := context.WithTimeout(t.Context(), 20*drainPollInterval)
	defer cancel()
	assert.Assert(t, !<-s.drain(ctx))
}

// TestDrainRace: requests on connections that were opened while a drain closed the
// listener got no answer.
func TestDrainRace(t *testing.T) {
	const servers, callers = 20, 4
	var wg sync.WaitGroup
	for range servers {
		s := newTestServer()
		assert.NilError(t, s.Start())
		for range callers {
			wg.Go(func() { assert.Check(t, s.askUntilRefused()) })
		}
		wg.Go(func() {
			time.Sleep(2 * drainPollInterval)
			assert.Check(t, s.Drain(t.Context()))
		})
	}
	wg.Wait()
}

// askUntilRefused sends requests on new connections until none is accepted.
func (s *testServer) askUntilRefused() error {
	for {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			return nil
		}
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
		if err == nil {
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		}
		_ = conn.Close()
		if err != nil {
			return err
		}
	}
}
