package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/io/late"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// pipes is a listener whose connections are pipes, for tests with a clock of their own.
type pipes struct {
	conns chan net.Conn
	ended chan struct{}
}

func newPipes() *pipes {
	return &pipes{
		conns: make(chan net.Conn),
		ended: make(chan struct{}),
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.ended)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.conns <- server
	return client, nil
}

// serve serves the connections until the function it returns is called.
func (p *pipes) serve(handler http.Handler) (end func()) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(p) }()
	return func() { _ = server.Close() }
}

// closeLinks closes links and waits until all that has to do with them has ended.
func closeLinks(l *Links) {
	l.Close()
	time.Sleep(time.Hour)
}

// slowConn is a connection that is read slowly, in small parts. What is written to it waits in a
// buffer until the other end reads it.
type slowConn struct {
	net.Conn

	pause  time.Duration // of each read
	buffer chan []byte
}

func newSlowConn(conn net.Conn, pause time.Duration) slowConn {
	const buffered = 100
	c := slowConn{
		Conn:   conn,
		pause:  pause,
		buffer: make(chan []byte, buffered),
	}
	go func() {
		for p := range c.buffer {
			if _, err := conn.Write(p); err != nil || p == nil {
				return
			}
		}
	}()
	return c
}

func (c slowConn) Write(p []byte) (int, error) {
	select {
	case c.buffer <- bytes.Clone(p):
		return len(p), nil
	default:
		return 0, io.ErrShortWrite
	}
}

func (c slowConn) Close() error {
	// Makes the writer of the buffer end.
	defer func() { c.buffer <- nil }()
	return c.Conn.Close()
}

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	const most = 4 << 10
	return c.Conn.Read(p[:min(most, len(p))])
}

// TestMovingBytesCountAsSilence guards against links that are closed while a large frame crosses
// them, because pings wait behind it.
func TestMovingBytesCountAsSilence(t *testing.T) {
	const (
		silence = 400 * time.Millisecond
		size    = 1 << 20
	)
	body := string(make([]byte, size))
	tests := []struct {
		name  string
		pause time.Duration // of the caller's reads
		// The host that serves the call.
		serve func(t *testing.T, counters *telemetry.Counters) http.Handler
	}{
		{
			name:  "answer that is read slowly",
			pause: 5 * time.Millisecond,
			serve: func(_ *testing.T, counters *telemetry.Counters) http.Handler {
				return NewServer([]Handler{{
					Kind: KindFetch,
					Serve: func(context.Context, wire.Frame) (wire.Frame, bool) {
						return wire.Frame{Config: &wire.Config{Body: body}}, true
					},
				}}, silence, stall.New(0), late.New(), counters, logr.Discard())
			},
		},
		{
			name: "answer of a host that reads no pings meanwhile",
			serve: func(t *testing.T, _ *telemetry.Counters) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					conn, err := websocket.Accept(w, r, nil)
					assert.Check(t, err)
					answerSlowly(t, conn, body, 2*silence)
				})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counters := telemetry.NewCounters(telemetry.NewRegistry())
				p := newPipes()
				defer p.serve(test.serve(t, counters))()
				links := New(&net.Dialer{Timeout: time.Second}, silence, late.New(), counters, logr.Discard())
				defer closeLinks(links)
				links.dialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := p.dial(ctx, network, address)
					return newSlowConn(conn, test.pause), err
				})
				began := time.Now()
				answer, err := links.Call(t.Context(), "host:1", wire.Frame{Fetch: &wire.Fetch{}})
				assert.NilError(t, err)
				assert.Equal(t, len(answer.Config.Body), size)
				assert.Assert(t, time.Since(began) >= 2*silence, "answered after %s", time.Since(began))
			})
		})
	}
}

// answerSlowly reads one call and writes the answer in parts. It reads nothing meanwhile.
func answerSlowly(t *testing.T, conn *websocket.Conn, body string, takes time.Duration) {
	t.Helper()
	_, raw, err := conn.Read(t.Context())
	assert.Check(t, err)
	var call wire.Frame
	assert.Check(t, cbor.Unmarshal(raw, &call))
	raw, err = cbor.Marshal(wire.Frame{
		Id:     call.Id,
		Config: &wire.Config{Body: body},
	})
	assert.Check(t, err)
	w, err := conn.Writer(t.Context(), websocket.MessageBinary)
	assert.Check(t, err)
	const parts = 20
	for rest := bytes.NewBuffer(raw); rest.Len() > 0; time.Sleep(takes / parts) {
		_, err = w.Write(rest.Next(len(raw)/parts + 1))
		assert.Check(t, err)
	}
	assert.Check(t, w.Close())
	_, _, _ = conn.Read(t.Context())
}

// TestPongUnreadClosesLink guards against links that are closed because this host gets no
// processor time to read the answer to a ping.
func TestPongUnreadClosesLink(t *testing.T) {
	const silence = 400 * time.Millisecond
	tests := []struct {
		name  string
		late  bool          // this host
		reads time.Duration // when an answer to the first ping is read
		want  error
	}{
		{
			name:  "late",
			late:  true,
			reads: 2 * silence,
		},
		{
			name:  "late, without an answer",
			late:  true,
			reads: time.Minute,
			want:  ErrLinkClosed,
		},
		{
			name:  "on time",
			reads: 2 * silence,
			want:  ErrLinkClosed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, meter := newPipes(), late.New()
				defer p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					conn, err := websocket.Accept(w, r, nil)
					assert.Check(t, err)
					_, raw, err := conn.Read(t.Context())
					assert.Check(t, err)
					time.Sleep(test.reads)
					go func() {
						time.Sleep(silence)
						_ = conn.Write(t.Context(), websocket.MessageBinary, raw)
					}()
					_, _, _ = conn.Read(t.Context())
				}))()
				links := New(&net.Dialer{Timeout: time.Second}, silence, meter, telemetry.NewCounters(telemetry.NewRegistry()), logr.Discard())
				defer closeLinks(links)
				links.dialContext(p.dial)
				if test.late {
					meter.Expect(time.Now())
				}
				_, err := links.Call(t.Context(), "host:1", wire.Frame{Fetch: &wire.Fetch{}})
				assert.ErrorIs(t, err, test.want)
			})
		})
	}
}

// TestConnectionUnreadCountsAsNone guards against dials that end because this host gets no
// processor time to notice that the connection is up.
func TestConnectionUnreadCountsAsNone(t *testing.T) {
	const timeout = 200 * time.Millisecond
	tests := []struct {
		name string
		late bool // this host
		want error
	}{
		{
			name: "late",
			late: true,
		},
		{
			name: "on time",
			want: ErrNoLink,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, meter := newPipes(), late.New()
				counters := telemetry.NewCounters(telemetry.NewRegistry())
				defer p.serve(NewServer(nil, time.Minute, stall.New(0), meter, counters, logr.Discard()))()
				links := New(&net.Dialer{Timeout: timeout}, time.Minute, meter, counters, logr.Discard())
				defer closeLinks(links)
				links.dialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
					select {
					case <-time.After(timeout * 3 / 2):
						return p.dial(ctx, network, address)
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				})
				if test.late {
					meter.Expect(time.Now())
				}
				err := links.Send(t.Context(), "host:1", wire.Frame{Beat: &wire.Beat{}})
				assert.ErrorIs(t, err, test.want)
			})
		})
	}
}
