package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/route"
	"rosemarywalk/io/clock"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/scheduler"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// silentPeers records until when a host that doesn't answer is waited for.
type silentPeers struct{ until time.Time }

func (p *silentPeers) Call(ctx context.Context, _ string, _ wire.Frame) (wire.Frame, error) {
	p.until, _ = ctx.Deadline()
	return wire.Frame{}, peer.ErrNoLink
}

func (*silentPeers) Send(context.Context, string, wire.Frame) error { return peer.ErrNoLink }

func (*silentPeers) Reachable(string) {}

// waitFormat is a format whose callers wait for a time.
type waitFormat struct {
	Format

	wait time.Duration
}

func (f waitFormat) Timeout(http.Header) time.Duration { return f.wait }

func (waitFormat) WriteError(w http.ResponseWriter, status int, _, _ string, _ time.Duration) {
	w.WriteHeader(status)
}

// TestStateAfterDeadline guards against a caller that gets no answer about a job's state, as a
// silent host is waited for beyond the time that the caller waits.
func TestStateAfterDeadline(t *testing.T) {
	const wait = 300 * time.Millisecond
	peers := &silentPeers{}
	counters := telemetry.NewCounters(telemetry.NewRegistry())
	r := roster.New(member.New(member.Host{Address: "a"}, member.Limits{DeadAfter: time.Minute}, rand.New(rand.NewPCG(1, 1))),
		peers, time.Second, time.Minute, 100, 100, 100, counters, logr.Discard())
	r.SetListedHosts([]listing.Host{{
		Name:    "b",
		Address: "b",
	}})
	h := &Handler{
		format:   waitFormat{wait: wait},
		counters: counters,
		log:      logr.Discard(),
		scheduler: scheduler.New(scheduler.Config{
			Self:     "a",
			Peers:    peers,
			Roster:   r,
			Counters: counters,
			Log:      logr.Discard(),
		}),
	}
	arrived := clock.Now()
	answer := httptest.NewRecorder()
	h.getState(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil), request{
		arrived: arrived,
		id:      "0123456789abcdef",
	})
	assert.Equal(t, answer.Code, http.StatusGatewayTimeout)
	assert.Assert(t, peers.until.Sub(arrived) < wait, "waits for %s", peers.until.Sub(arrived))
}

// TestRefuseUnread checks that a refusal for want of memory says that the job has not run only
// if it is its caller's first attempt.
func TestRefuseUnread(t *testing.T) {
	const first, again = 3 * time.Second, 1500 * time.Millisecond
	waits := newWaitEstimator(true)
	for range firstWaits {
		waits.elapsed("r", first)
	}
	for _, test := range []struct {
		wait   time.Duration
		status int
	}{
		{
			wait:   first,
			status: http.StatusServiceUnavailable,
		},
		{
			wait:   again,
			status: http.StatusBadGateway,
		},
		{
			status: http.StatusBadGateway,
		},
	} {
		h := &Handler{
			format:        waitFormat{wait: test.wait},
			counters:      telemetry.NewCounters(telemetry.NewRegistry()),
			log:           logr.Discard(),
			waitEstimator: newWaitEstimator(true),
		}
		h.waitEstimator.routes = waits.routes
		answer := httptest.NewRecorder()
		h.refuseUnread(answer, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil), request{route: route.Route{Name: "r"}})
		assert.Equal(t, answer.Code, test.status, "caller that waits %s", test.wait)
	}
}
