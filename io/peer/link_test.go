package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarywalk/io/clock"
	"rosemarywalk/io/late"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// blackholeConn is a connection that discards all writes once drop is set.
type blackholeConn struct {
	net.Conn

	drop *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.drop.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentLink checks that a link whose connection stops delivering without an error is
// closed and dialed again, even if it only carries frames without an answer.
func TestSilentLink(t *testing.T) {
	const pingTimeout = 100 * time.Millisecond
	var received atomic.Int64
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	server := NewServer([]Handler{{
		Kind: KindBeat,
		Serve: func(context.Context, wire.Frame) (wire.Frame, bool) {
			received.Add(1)
			return wire.Frame{}, false
		},
	}}, pingTimeout, stall.New(0), late.New(), counters, logr.Discard())
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	address := strings.TrimPrefix(web.URL, "http://")

	var drop atomic.Bool
	first := true
	links := New(&net.Dialer{Timeout: time.Second}, pingTimeout, late.New(), counters, logr.Discard())
	links.dialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || !first {
			return conn, err
		}
		first = false
		return blackholeConn{
			Conn: conn,
			drop: &drop,
		}, nil
	})
	defer links.Close()
	beat := wire.Frame{Beat: &wire.Beat{}}
	assert.NilError(t, links.Send(t.Context(), address, beat))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if received.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("first heartbeat not received")
	})
	drop.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_ = links.Send(t.Context(), address, beat)
		if received.Load() > 1 {
			return poll.Success()
		}
		return poll.Continue("no heartbeat received over a new link")
	}, poll.WithTimeout(20*time.Second))
}

// TestUnreadLink checks that a link whose peer reads nothing is closed, which ends the
// blocked write.
func TestUnreadLink(t *testing.T) {
	const pingTimeout = 100 * time.Millisecond
	release := make(chan struct{})
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		assert.Check(t, err)
		<-release
		_ = conn.CloseNow()
	}))
	defer web.Close()
	defer close(release)
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	links := New(&net.Dialer{Timeout: time.Second}, pingTimeout, late.New(), counters, logr.Discard())
	defer links.Close()
	const overAllBuffers = 64 << 20
	frame := wire.Frame{Config: &wire.Config{Body: strings.Repeat("x", overAllBuffers)}}
	err := links.Send(t.Context(), strings.TrimPrefix(web.URL, "http://"), frame)
	assert.ErrorIs(t, err, ErrLinkClosed)
}

// TestStoodStill checks that a frame which arrived before this process was suspended is
// not served and closes its link, and that later frames arrive over a new one.
func TestStoodStill(t *testing.T) {
	const limit = time.Minute
	var received atomic.Int64
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	stalls := stall.New(limit)
	server := NewServer([]Handler{{
		Kind: KindBeat,
		Serve: func(context.Context, wire.Frame) (wire.Frame, bool) {
			received.Add(1)
			return wire.Frame{}, false
		},
	}}, time.Second, stalls, late.New(), counters, logr.Discard())
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	address := strings.TrimPrefix(web.URL, "http://")
	links := New(&net.Dialer{Timeout: time.Second}, time.Second, late.New(), counters, logr.Discard())
	defer links.Close()
	beat := wire.Frame{Beat: &wire.Beat{}}
	waitForBeats := func(n int64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if received.Load() >= n {
				return poll.Success()
			}
			return poll.Continue("%d heartbeats received", received.Load())
		})
	}
	assert.NilError(t, links.Send(t.Context(), address, beat))
	waitForBeats(1)
	first, err := links.link(t.Context(), address)
	assert.NilError(t, err)
	stalls.Observe(clock.Now().Add(limit))
	assert.NilError(t, first.write(beat))
	<-first.done
	assert.Equal(t, received.Load(), int64(1))
	assert.NilError(t, links.Send(t.Context(), address, beat))
	waitForBeats(2)
}

// TestReachable replays hosts that start at different times: a dial that began before the
// other host was up hangs. It is restarted as soon as that host is heard from.
func TestReachable(t *testing.T) {
	const timeout = time.Minute
	received := make(chan struct{}, 1)
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	server := NewServer([]Handler{{
		Kind: KindBeat,
		Serve: func(context.Context, wire.Frame) (wire.Frame, bool) {
			received <- struct{}{}
			return wire.Frame{}, false
		},
	}}, timeout, stall.New(0), late.New(), counters, logr.Discard())
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	address := strings.TrimPrefix(web.URL, "http://")

	dialing := make(chan struct{}, 1)
	var up atomic.Bool
	links := New(&net.Dialer{Timeout: timeout}, timeout, late.New(), counters, logr.Discard())
	links.dialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
		if up.Load() {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	defer links.Close()
	links.Reachable(address)
	sent := make(chan error, 1)
	go func() { sent <- links.Send(t.Context(), address, wire.Frame{Beat: &wire.Beat{}}) }()
	<-dialing
	up.Store(true)
	links.Reachable(address)
	select {
	case err := <-sent:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the frame waits for the dial that hangs")
	}
	<-received
}

// TestCloseWhileDialing: Close hangs while a dial is in progress, because each waits for the
// other's lock.
func TestCloseWhileDialing(t *testing.T) {
	const address = "host:1"
	dialing := make(chan struct{}, 1)
	links := New(&net.Dialer{Timeout: time.Minute}, time.Minute, late.New(), telemetry.NewCounters(telemetry.NewRegistry()), logr.Discard())
	links.dialContext(func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	sent := make(chan error, 1)
	go func() { sent <- links.Send(t.Context(), address, wire.Frame{Beat: &wire.Beat{}}) }()
	<-dialing
	closed := make(chan struct{})
	go func() {
		links.Close()
		close(closed)
	}()
	select {
	case <-closed:
		assert.ErrorIs(t, <-sent, ErrNoLink)
	case <-time.After(5 * time.Second):
		t.Fatal("Close waits for the dial in progress")
	}
}
