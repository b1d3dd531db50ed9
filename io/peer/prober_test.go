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
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rosemarywalk/io/clock"
	"rosemarywalk/io/late"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// serveSubmit starts a server that passes the contexts of submitted jobs on, and returns
// links to it and its address.
func serveSubmit(t *testing.T, served chan<- context.Context) (*Links, string) {
	t.Helper()
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	server := NewServer([]Handler{{
		Kind: KindSubmit,
		Serve: func(ctx context.Context, _ wire.Frame) (wire.Frame, bool) {
			served <- ctx
			<-ctx.Done()
			return wire.Frame{}, false
		},
	}}, time.Minute, stall.New(0), late.New(), counters, logr.Discard())
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	t.Cleanup(server.Close)
	links := New(&net.Dialer{Timeout: time.Second}, time.Minute, late.New(), counters, logr.Discard())
	t.Cleanup(links.Close)
	return links, strings.TrimPrefix(web.URL, "http://")
}

// TestServedCallOutlivesCaller checks that a call ends at the host that serves it when its
// caller leaves, although the link stays open and no message withdraws the call.
func TestServedCallOutlivesCaller(t *testing.T) {
	served := make(chan context.Context, 1)
	links, address := serveSubmit(t, served)
	ctx, leave := context.WithCancel(t.Context())
	go func() { _, _ = links.Call(ctx, address, wire.Frame{Submit: &wire.Submit{}}) }()
	call := <-served
	leave()
	select {
	case <-call.Done():
		assert.ErrorIs(t, context.Cause(call), ErrWithdrawn)
	case <-time.After(5 * time.Second):
		t.Fatal("the call is still served")
	}
}

// TestWithdrawnCallNeverAnswered checks that a call which was withdrawn before it was served is
// answered: a home that has given up a job waits for the ends of its lent runs.
func TestWithdrawnCallNeverAnswered(t *testing.T) {
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	server := NewServer([]Handler{{
		Kind: KindLend,
		Serve: func(ctx context.Context, _ wire.Frame) (wire.Frame, bool) {
			assert.Check(t, errors.Is(context.Cause(ctx), ErrWithdrawn))
			return wire.Frame{Lent: &wire.Lent{}}, true
		},
	}}, time.Minute, stall.New(0), late.New(), counters, logr.Discard())
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	links := New(&net.Dialer{Timeout: time.Second}, time.Minute, late.New(), counters, logr.Discard())
	defer links.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ctx = WithConfirmation(ctx, func() (time.Time, bool) { return time.Time{}, false })
	answer, err := links.Call(ctx, strings.TrimPrefix(web.URL, "http://"), wire.Frame{Lend: &wire.Lend{}})
	assert.NilError(t, err)
	assert.Assert(t, answer.Lent != nil)
}

// TestGoneCallerConfirmed checks that no work begins for a call whose caller was known to be
// gone when the call was sent, although earlier calls on the link were confirmed just before.
func TestGoneCallerConfirmed(t *testing.T) {
	served := make(chan context.Context, 2)
	links, address := serveSubmit(t, served)
	go func() { _, _ = links.Call(t.Context(), address, wire.Frame{Submit: &wire.Submit{}}) }()
	<-served
	gone := WithConfirmation(t.Context(), func() (time.Time, bool) { return time.Now(), false })
	go func() { _, _ = links.Call(gone, address, wire.Frame{Submit: &wire.Submit{}}) }()
	call := <-served
	at, waiting := Confirm(call)
	assert.Assert(t, at.IsZero() && !waiting, at)
	assert.ErrorIs(t, context.Cause(call), ErrWithdrawn)
}

// TestCallConfirmedWithoutCaller checks that a call is confirmed as of the time at which the
// caller was last known to wait, from its arrival on and over two links.
func TestCallConfirmedWithoutCaller(t *testing.T) {
	served := make(chan context.Context, 1)
	links, address := serveSubmit(t, served)
	last := clock.Now()
	ctx := WithConfirmation(t.Context(), func() (time.Time, bool) { return last, true })
	go func() { _, _ = links.Call(ctx, address, wire.Frame{Submit: &wire.Submit{}}) }()
	call := <-served
	deadline := time.Now().Add(5 * time.Second)
	for {
		at, waiting := Confirm(call)
		assert.Assert(t, waiting)
		assert.Assert(t, !at.After(last), "%s later than the caller was known to wait", at.Sub(last))
		if !at.IsZero() && clock.Since(last) > 5*probeInterval {
			assert.Assert(t, last.Sub(at) < time.Second, last.Sub(at))
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the call is not confirmed")
		time.Sleep(time.Millisecond)
	}
}

// TestFirstCallSeemsOld guards against the first call on a link that was idle being dated by the
// opening of the link, which made a job that it carries seem to be as old.
func TestFirstCallSeemsOld(t *testing.T) {
	const idle = 500 * time.Millisecond
	served := make(chan context.Context, 1)
	links, address := serveSubmit(t, served)
	for links.Send(t.Context(), address, wire.Frame{Halt: &wire.Halt{}}) != nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(idle)
	made := clock.Now()
	go func() { _, _ = links.Call(t.Context(), address, wire.Frame{Submit: &wire.Submit{}}) }()
	call := <-served
	assert.Assert(t, made.Sub(Sent(call)) < idle/2, "the call seems to be %s old", clock.Since(Sent(call)))
}

// TestCallerSeemsRecentAfterSuspension checks that the time for which a host was suspended counts
// in what it says of when a caller was last known to wait.
func TestCallerSeemsRecentAfterSuspension(t *testing.T) {
	const suspension = 450 * time.Millisecond
	began := clock.Now()
	ctx := WithConfirmation(t.Context(), func() (time.Time, bool) { return began, true })
	tests := []struct {
		name string
		age  func(*link) time.Duration
	}{
		{
			name: "answer to a probe",
			age:  func(l *link) time.Duration { return microseconds(l.callerAge(1)) },
		},
		{
			name: "call after a probe",
			age: func(l *link) time.Duration {
				l.recordProbe(&wire.Probe{})
				return -microseconds(l.fresh(ctx).Since)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			age := test.age(&link{
				pending: map[int]pendingCall{1: {ctx: ctx}},
				now:     func() time.Time { return clock.Now().Add(suspension) },
			})
			assert.Assert(t, age >= suspension, age)
		})
	}
}

// TestSilentOldHostConfirmed checks that the callers of a host that answers no probes, as of an
// earlier version, are taken as waiting only as long as the host answers pings.
func TestSilentOldHostConfirmed(t *testing.T) {
	const silence = 300 * time.Millisecond
	tests := []struct {
		name   string
		silent bool // from the start
	}{
		{
			name: "falls silent once the call is served",
		},
		{
			name:   "silent from the start",
			silent: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			served := make(chan context.Context, 1)
			_, address := serveSubmit(t, served)
			var silent atomic.Bool
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return blackholeConn{
					Conn: conn,
					drop: &silent,
				}, err
			}}
			conn, _, err := websocket.Dial(t.Context(), "ws://"+address+peerPath, &websocket.DialOptions{
				HTTPClient: &http.Client{Transport: transport},
			})
			assert.NilError(t, err)
			defer func() { _ = conn.CloseNow() }()
			raw, err := cbor.Marshal(wire.Frame{
				Id:     1,
				Submit: &wire.Submit{},
			})
			assert.NilError(t, err)
			assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, raw))
			silent.Store(test.silent)
			conn.CloseRead(t.Context())
			if test.silent {
				time.Sleep(silence)
				assert.Equal(t, len(served), 0)
				return
			}
			call := <-served
			began := clock.Now()
			confirmed := func() time.Time {
				at, waiting := Confirm(call)
				assert.Assert(t, waiting)
				return at
			}
			for confirmed().Before(began) {
				time.Sleep(time.Millisecond)
			}
			silent.Store(true)
			began = clock.Now()
			time.Sleep(silence)
			assert.Assert(t, !confirmed().After(began), "confirmed %s after the silence began", confirmed().Sub(began))
		})
	}
}
