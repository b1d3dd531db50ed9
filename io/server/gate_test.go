package server

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var testLimits = Limits{
	HeadBytes:   4096,
	HeadTimeout: 10 * time.Second,
	BodyTimeout: 10 * time.Second,
	IdleTimeout: 10 * time.Second,
}

func newTestGuard(l Limits) *Guard {
	return NewGate(0, prometheus.NewRegistry(), logr.Discard()).Guard(0, func() Limits { return l })
}

// bodyServer starts a server that answers a request with the length of its body, or with 503
// if it gets no memory for it.
func bodyServer(t *testing.T, bytes int64, connections int, l Limits) *testServer {
	t.Helper()
	guard := NewGate(bytes, prometheus.NewRegistry(), logr.Discard()).Guard(connections, func() Limits { return l })
	s := &testServer{Server: New("test", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20)
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = w.Write(body)
	}), guard, logr.Discard())}
	assert.NilError(t, s.Start())
	t.Cleanup(s.Close)
	return s
}

// TestLimits checks how requests outside the limits, and connections without progress, end.
func TestLimits(t *testing.T) {
	const soon = 100 * time.Millisecond
	const begin = "POST / HTTP/1.1\r\nHost: x\r\n"
	tests := []struct {
		name   string
		limits Limits // those that are 0 are testLimits'
		sent   string
		status int // 0 for none
	}{
		{
			name:   "header of the greatest size",
			sent:   begin + "Content-Length: 0\r\nLong: " + strings.Repeat("x", testLimits.HeadBytes-len(begin)-len("Content-Length: 0\r\nLong: \r\n\r\n")) + "\r\n\r\n",
			status: http.StatusOK,
		},
		{
			name:   "header over the limit",
			sent:   begin + "Content-Length: 0\r\nLong: " + strings.Repeat("x", testLimits.HeadBytes-len(begin)-len("Content-Length: 0\r\nLong: \r\n\r\n")+1) + "\r\n\r\n",
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "header without end",
			sent:   begin + strings.Repeat("x", 1<<20),
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "empty lines without end",
			sent:   strings.Repeat("\r\n", 1<<20),
			status: http.StatusBadRequest,
		},
		{
			name: "header that stands still",
			limits: Limits{
				HeadTimeout: soon,
			},
			sent: begin,
		},
		{
			name: "body that stands still",
			limits: Limits{
				BodyTimeout: soon,
			},
			sent:   begin + "Content-Length: 2\r\n\r\nx",
			status: http.StatusBadRequest,
		},
		{
			name: "no request",
			limits: Limits{
				IdleTimeout: soon,
			},
		},
		{
			name:   "body over the limit",
			sent:   begin + "Content-Length: 10000000\r\n\r\nx",
			status: http.StatusRequestEntityTooLarge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limits := testLimits
			limits.HeadTimeout = cmp.Or(test.limits.HeadTimeout, limits.HeadTimeout)
			limits.BodyTimeout = cmp.Or(test.limits.BodyTimeout, limits.BodyTimeout)
			limits.IdleTimeout = cmp.Or(test.limits.IdleTimeout, limits.IdleTimeout)
			c := bodyServer(t, 0, 0, limits).open(t)
			go func() { _, _ = io.WriteString(c, test.sent) }()
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(testLimits.IdleTimeout/2)))
			response, err := http.ReadResponse(c.reader, nil)
			if test.status == 0 {
				assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status)
			if test.status != http.StatusOK {
				_, err = io.Copy(io.Discard, c.reader)
				var timeout net.Error
				assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection stays open")
			}
		})
	}
}

// TestIdleUntilRequest checks that a connection is served again after each request, with its
// own time for each header and each wait.
func TestIdleUntilRequest(t *testing.T) {
	limits := testLimits
	limits.HeadTimeout, limits.IdleTimeout = 300*time.Millisecond, 300*time.Millisecond
	c := bodyServer(t, 1<<20, 1, limits).open(t)
	for range 6 {
		c.send(t, "POST / HTTP/1.1\r\nHost: x\r\n")
		time.Sleep(100 * time.Millisecond)
		c.send(t, "Content-Length: 2\r\n\r\nx")
		time.Sleep(100 * time.Millisecond)
		c.send(t, "x")
		c.answer(t)
		time.Sleep(100 * time.Millisecond)
	}
}

// TestBodyMemory checks that requests give way to one that is read while theirs stand still,
// that these get a response, and that the memory is free afterwards.
func TestBodyMemory(t *testing.T) {
	const limit, clients, size = 100_000, 20, 20_000
	s := bodyServer(t, limit, 0, testLimits)
	body := strings.Repeat("x", size)
	stuck := make([]testCaller, clients)
	for i := range stuck {
		stuck[i] = s.open(t)
		stuck[i].send(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n"+body[:size-1])
	}
	refused := 0
	for _, c := range stuck {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		if response, err := http.ReadResponse(c.reader, nil); err == nil {
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			refused++
		}
	}
	assert.Assert(t, refused >= clients-limit/size, "%d refused", refused)
	c := s.open(t)
	c.send(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n"+body)
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), body)
	for _, c := range stuck {
		_ = c.Close()
	}
	_ = c.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.guard.gate.mu.Lock()
		defer s.guard.gate.mu.Unlock()
		if held := s.guard.gate.budget.Held(); held > 0 {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// TestConnections checks that a new connection is served when there are too many, and that
// one that is being served keeps its own.
func TestConnections(t *testing.T) {
	const limit = 5
	s := newTestServer()
	s.guard.slots = NewGate(0, prometheus.NewRegistry(), logr.Discard()).Guard(limit, nil).slots
	assert.NilError(t, s.Start())
	defer s.Close()
	busy := s.open(t)
	busy.ask(t, "/slow")
	time.Sleep(10 * drainPollInterval)
	for range 4 * limit {
		s.open(t)
	}
	c := s.open(t)
	c.ask(t, "/")
	c.answer(t)
	close(s.release)
	busy.answer(t)
}

// TestChunks checks that bodies in chunks are read whole.
func TestChunks(t *testing.T) {
	s := bodyServer(t, 0, 0, testLimits)
	for _, size := range []int{0, 1, firstPart, firstPart + 1, firstPart + nextPart, 100_000} {
		body := strings.Repeat("abcdefg", size)[:size]
		request, err := http.NewRequest(http.MethodPost, "http://"+s.listener.Addr().String(), struct{ io.Reader }{strings.NewReader(body)})
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		raw, err := io.ReadAll(bufio.NewReader(response.Body))
		assert.NilError(t, err)
		assert.Equal(t, string(raw), body)
		_ = response.Body.Close()
	}
}
