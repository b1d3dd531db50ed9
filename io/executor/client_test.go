package executor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/place"
)

func newTestClient() *Client {
	return New(Limits{
		Connections: 4,
		Answer:      1000,
	}, &net.Dialer{Timeout: time.Second})
}

func TestSend(t *testing.T) {
	tests := []struct {
		name   string
		serve  http.HandlerFunc
		raw    bool
		result place.Result
		reason core.Reason
	}{
		{
			name:   "answered",
			serve:  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
			result: place.Answered,
		},
		{
			name:   "refused before the start",
			serve:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
			result: place.Refused,
			reason: core.ReasonBusy,
		},
		{
			name:   "error",
			serve:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			result: place.Failed,
			reason: core.ReasonStatus,
		},
		{
			name:   "error that the caller asked for",
			serve:  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			raw:    true,
			result: place.Errored,
			reason: core.ReasonStatus,
		},
		{
			name:   "reset",
			serve:  func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			result: place.Interrupted,
			reason: core.ReasonReset,
		},
		{
			name: "another task's answer",
			serve: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderTask, "other")
				_, _ = w.Write([]byte("{}"))
			},
			result: place.Interrupted,
			reason: core.ReasonMalformed,
		},
		{
			name:   "too large",
			serve:  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1001)) },
			result: place.Interrupted,
			reason: core.ReasonLarge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			web := httptest.NewServer(test.serve)
			defer web.Close()
			got := newTestClient().Send(context.Background(), Task{
				Address: web.Listener.Addr().String(),
				Service: "valuation",
				Name:    "own",
				Raw:     test.raw,
			})
			assert.Equal(t, got.Result, test.result)
			assert.Equal(t, got.Reason, test.reason)
		})
	}
}

func TestSendToNobody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	got := newTestClient().Send(context.Background(), Task{Address: listener.Addr().String()})
	assert.Equal(t, got.Result, place.Unreached)
}

func TestSendCanceled(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// A server notices that its caller left only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer web.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	got := newTestClient().Send(ctx, Task{Address: web.Listener.Addr().String()})
	assert.Equal(t, got.Result, place.Aborted)
}

// TestNoReplay: a server that reads a request on a reused connection and then
// closes it without an answer must not see the request again. The transport
// replays what it takes for safe, and must not get the chance.
func TestNoReplay(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, &requests)
		}
	}()
	c := newTestClient()
	task := Task{Address: listener.Addr().String()}
	assert.Equal(t, c.Send(context.Background(), task).Result, place.Answered)
	assert.Equal(t, c.Send(context.Background(), task).Result, place.Interrupted)
	assert.Equal(t, requests.Load(), int64(2))
}

// answerOnce answers the first request of a connection and drops the second.
func answerOnce(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if requests.Add(1)%2 == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}
