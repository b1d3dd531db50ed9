package server

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestDrain checks that a request that arrives on an open connection during a drain is
// answered while another request is still in progress.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	s := New("test", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = fmt.Fprint(w, "answer")
	}), logr.Discard())
	assert.NilError(t, s.Start())
	address := s.listener.Addr().String()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		return conn
	}
	ask := func(conn net.Conn, path string) {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: test\r\n\r\n", path)
		assert.NilError(t, err)
	}
	slow, idle := open(), open()
	ask(slow, "/slow")
	ask(idle, "/")
	reader := bufio.NewReader(idle)
	_, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	for s.tracker.count() != 1 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan bool)
	go func() { drained <- s.Drain(t.Context()) }()
	time.Sleep(10 * drainPollInterval)
	// The body of the first response is still unread and precedes the second.
	_, err = reader.Discard(len("answer"))
	assert.NilError(t, err)
	ask(idle, "/")
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	close(release)
	assert.Assert(t, <-drained)
}
