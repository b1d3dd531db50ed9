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

	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// muted is a connection that delivers nothing once it is told so.
type muted struct {
	net.Conn

	mute *atomic.Bool
}

func (c muted) Write(p []byte) (int, error) {
	if c.mute.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentLink: a link whose connection delivers nothing any more is closed
// and dialed anew, though it only carries frames without an answer.
func TestSilentLink(t *testing.T) {
	const silence = 100 * time.Millisecond
	var heard atomic.Int64
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	server := NewServer([]Handler{{
		Kind: KindBeat,
		Serve: func(context.Context, wire.Frame) (wire.Frame, bool) {
			heard.Add(1)
			return wire.Frame{}, false
		},
	}}, silence, stall.New(0), counters, logr.Discard())
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	address := strings.TrimPrefix(web.URL, "http://")

	var mute atomic.Bool
	first := true
	links := New(&net.Dialer{Timeout: time.Second}, silence, counters, logr.Discard())
	links.dialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || !first {
			return conn, err
		}
		first = false
		return muted{
			Conn: conn,
			mute: &mute,
		}, nil
	})
	defer links.Close()
	beat := wire.Frame{Beat: &wire.Beat{}}
	assert.NilError(t, links.Send(t.Context(), address, beat))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if heard.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("first beat not heard")
	})
	mute.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_ = links.Send(t.Context(), address, beat)
		if heard.Load() > 1 {
			return poll.Success()
		}
		return poll.Continue("no beat heard over a new link")
	}, poll.WithTimeout(20*time.Second))
}

// TestUnreadLink: a link whose peer reads nothing is closed, and the write that
// waits for it ends.
func TestUnreadLink(t *testing.T) {
	const silence = 100 * time.Millisecond
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
	links := New(&net.Dialer{Timeout: time.Second}, silence, counters, logr.Discard())
	defer links.Close()
	const overAllBuffers = 64 << 20
	frame := wire.Frame{Config: &wire.Config{Body: strings.Repeat("x", overAllBuffers)}}
	err := links.Send(t.Context(), strings.TrimPrefix(web.URL, "http://"), frame)
	assert.ErrorIs(t, err, ErrBroken)
}

// TestStoodStill: a frame that arrived before this process stood still is not
// served, and the link is closed; later frames come over a new one.
func TestStoodStill(t *testing.T) {
	const limit = time.Minute
	var heard atomic.Int64
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	stalls := stall.New(limit)
	server := NewServer([]Handler{{
		Kind: KindBeat,
		Serve: func(context.Context, wire.Frame) (wire.Frame, bool) {
			heard.Add(1)
			return wire.Frame{}, false
		},
	}}, time.Second, stalls, counters, logr.Discard())
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	address := strings.TrimPrefix(web.URL, "http://")
	links := New(&net.Dialer{Timeout: time.Second}, time.Second, counters, logr.Discard())
	defer links.Close()
	beat := wire.Frame{Beat: &wire.Beat{}}
	hear := func(n int64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if heard.Load() >= n {
				return poll.Success()
			}
			return poll.Continue("%d beats heard", heard.Load())
		})
	}
	assert.NilError(t, links.Send(t.Context(), address, beat))
	hear(1)
	first, err := links.link(t.Context(), address)
	assert.NilError(t, err)
	stalls.Suspended(limit)
	assert.NilError(t, first.write(beat))
	<-first.done
	assert.Equal(t, heard.Load(), int64(1))
	assert.NilError(t, links.Send(t.Context(), address, beat))
	hear(2)
}
