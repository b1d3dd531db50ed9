package proof

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/io/client"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/proxy"
	"rosemarywalk/standin/server"
)

// TestHoldNotRun: "not run" is true, on every path that says it.
func TestHoldNotRun(t *testing.T) {
	tests := []struct {
		name     string
		reason   core.Reason
		settings string
		job      func() client.Job
		before   func(t *testing.T, f *fleet)
	}{
		{
			name:   "unknown service",
			reason: core.ReasonService,
			job: func() client.Job {
				j := job(5, 1)
				j.Service = "unheard-of"
				return j
			},
		},
		{
			name:   "larger than any server",
			reason: core.ReasonFit,
			job: func() client.Job {
				j := job(5, 1)
				j.Tasks[2].Cores = 1000
				return j
			},
		},
		{
			name:     "queue full",
			reason:   core.ReasonOverload,
			settings: "[dispatch]\nwaiting = 4",
			job:      func() client.Job { return job(5, 1) },
		},
		{
			name:   "estimated wait past the deadline",
			reason: core.ReasonWait,
			job: func() client.Job {
				j := job(800, 100)
				j.Deadline = 150
				return j
			},
			before: func(t *testing.T, f *fleet) {
				o, err := f.hosts[0].client().Submit(background(t), ticketOf(t, f.hosts[0]), job(50, 100))
				assert.NilError(t, err)
				checkAnswers(t, o, 50)
			},
		},
		{
			name:     "all servers refuse and the retry budget ends",
			reason:   core.ReasonBudget,
			settings: "[dispatch]\nretries = 0\nsaved = 3",
			// With more than one task out, the first to give up can't speak for
			// the others, and the answer is "maybe".
			job: func() client.Job { return job(1, 1) },
			before: func(_ *testing.T, f *fleet) {
				for _, s := range f.servers {
					s.SetBehavior(server.Behavior{Mode: server.ModeRefuse})
				}
			},
		},
		{
			name:     "draining",
			reason:   core.ReasonDraining,
			settings: "[drain]\nlinger = 0s\nlimit = 30s",
			job:      func() client.Job { return job(5, 1) },
			before: func(t *testing.T, f *fleet) {
				// A long job keeps the host from ending while it drains.
				begin(t, f, f.hosts[0], ticketOf(t, f.hosts[0]), job(1, 3000))
				f.hosts[0].signal(syscall.SIGTERM)
				eventually(t, "the stop begins", func() bool {
					return f.hosts[0].logged("stopping")
				})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, options{
				hosts:    1,
				servers:  2,
				slots:    4,
				settings: test.settings,
			})
			ticket := ticketOf(t, f.hosts[0])
			if test.before != nil {
				test.before(t, f)
			}
			before, _ := f.starts()
			for range 3 {
				o, err := f.hosts[0].client().Submit(background(t), ticket, test.job())
				assert.NilError(t, err)
				assert.Equal(t, o.State, "failed")
				assert.Equal(t, o.Ran, core.RanNo)
				assert.Equal(t, o.Reason, test.reason)
			}
			after, _ := f.starts()
			assert.Equal(t, after, before, "tasks started although the answer was \"not run\"")
		})
	}
}

// TestHoldNotRunUnlessKnown: whoever can't know doesn't say "not run".
func TestHoldNotRunUnlessKnown(t *testing.T) {
	f := newFleet(t, options{
		hosts:   2,
		servers: 2,
		slots:   4,
	})
	ticket := ticketOf(t, f.hosts[0])
	o, err := f.hosts[0].client().Submit(background(t), ticket, job(5, 1))
	assert.NilError(t, err)
	checkAnswers(t, o, 5)
	f.hosts[0].kill()
	o, err = f.hosts[1].client().Submit(background(t), ticket, job(5, 1))
	assert.NilError(t, err)
	assert.Equal(t, o.Ran, core.RanMaybe)
	f.platform.SetFaults(platform.Faults{Down: true})
	o, err = f.hosts[1].client().SubmitKey(background(t), "any", job(5, 1))
	assert.NilError(t, err)
	assert.Equal(t, o.Ran, core.RanMaybe)
}

func (h *hostProcess) logged(text string) bool {
	return containsMessage(h.log.String(), text)
}

// TestHoldPlannedStop: a planned stop cuts no request in flight.
func TestHoldPlannedStop(t *testing.T) {
	for _, scope := range []string{"host", "fleet"} {
		t.Run("home is the "+scope, func(t *testing.T) {
			f := newFleet(t, options{
				hosts:    3,
				servers:  4,
				slots:    8,
				home:     scope,
				settings: "[drain]\nlinger = 500ms\nlimit = 30s",
			})
			stopUnderLoad(t, f, f.homeOf(service))
		})
	}
}

// stopUnderLoad stops a host while callers submit and cancel.
func stopUnderLoad(t *testing.T, f *fleet, stop *hostProcess) {
	t.Helper()
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	var cut, complete, canceled atomic.Int64
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() { callUntil(ctx, t, f, i, &cut, &complete, &canceled) })
	}
	time.Sleep(time.Second)
	stop.signal(syscall.SIGTERM)
	stop.stopped()
	time.Sleep(time.Second)
	stopLoad()
	wg.Wait()
	assert.Equal(t, cut.Load(), int64(0), "requests cut by the planned stop")
	assert.Assert(t, complete.Load() > 50, "the load was real")
	assert.Assert(t, canceled.Load() > 5, "cancellations were real")
	_, twice := f.starts()
	assert.Equal(t, twice, 0)
}

// callUntil behaves as callers behind a balancer do: it stays with a host
// while that is ready, and a request sent to a ready host must be answered.
func callUntil(ctx context.Context, t *testing.T, f *fleet, i int, cut, complete, canceled *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		h := f.hosts[(i+n)%len(f.hosts)]
		if !h.ready() {
			continue
		}
		c := h.client().WithService(service)
		ticket, err := c.Ticket(background(t))
		if err != nil {
			cut.Add(1)
			continue
		}
		if n%5 == 4 {
			time.AfterFunc(10*time.Millisecond, func() { _, _ = c.Cancel(background(t), ticket) })
			canceled.Add(1)
		}
		// Every third caller's jobs outlast the linger, so the stop meets them.
		run := 30
		if i%3 == 0 {
			run = 900
		}
		o, err := c.Submit(background(t), ticket, job(6, run))
		switch {
		case err != nil:
			cut.Add(1)
			t.Logf("cut: %v", err)
		case o.Complete():
			complete.Add(1)
		case o.Ran != core.RanNo && o.Reason != core.ReasonCanceled:
			cut.Add(1)
			t.Logf("cut: %+v", o)
		}
	}
}

// TestHoldDrainLimit: what passes the drain's limit is failed and says "maybe".
func TestHoldDrainLimit(t *testing.T) {
	f := newFleet(t, options{
		hosts:    1,
		servers:  1,
		slots:    4,
		settings: "[drain]\nlinger = 0s\nlimit = 300ms",
	})
	done := begin(t, f, f.hosts[0], ticketOf(t, f.hosts[0]), job(2, 20000))
	f.hosts[0].signal(syscall.SIGTERM)
	o := <-done
	assert.Equal(t, o.State, "failed")
	assert.Equal(t, o.Ran, core.RanMaybe)
	assert.Equal(t, o.Reason, core.ReasonDrainLimit)
	f.hosts[0].stopped()
}

// TestHoldLeaving: a leaving backend server gets no new work within 3 s.
func TestHoldLeaving(t *testing.T) {
	const bound = 3 * time.Second
	tests := []struct {
		name   string
		before func(f *fleet)
		after  func(f *fleet)
	}{
		{
			name: "listed",
		},
		{
			name:   "one host can't read the list",
			before: func(f *fleet) { f.store.Set(f.hosts[0].ip, proxy.Cut()) },
		},
		{
			name: "the platform goes down just after",
			after: func(f *fleet) {
				eventually(f.t, "one host has read the list", func() bool { return f.listing() })
				f.platform.SetFaults(platform.Faults{Down: true})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, options{
				hosts:   3,
				servers: 3,
				slots:   8,
			})
			ctx, stopLoad := context.WithCancel(context.Background())
			defer stopLoad()
			var wg sync.WaitGroup
			for i := range 9 {
				wg.Go(func() {
					for ctx.Err() == nil {
						_, _ = f.hosts[i%3].client().Submit(background(t), ticketOf(t, f.hosts[i%3]), job(6, 10))
					}
				})
			}
			if test.before != nil {
				test.before(f)
			}
			f.list(f.servers[0], "leaving")
			listed := time.Now()
			if test.after != nil {
				test.after(f)
			}
			time.Sleep(time.Until(listed.Add(bound)))
			before := f.servers[0].Starts()
			time.Sleep(time.Second)
			after := f.servers[0].Starts()
			stopLoad()
			wg.Wait()
			assert.Equal(t, after.Total, before.Total, "new work after %s", bound)
			total, _ := f.starts()
			assert.Assert(t, total > after.Total, "the others go on")
		})
	}
}

// TestHoldReturning: a server that comes back under the same address is used.
func TestHoldReturning(t *testing.T) {
	f := newFleet(t, options{
		hosts:   1,
		servers: 1,
		slots:   8,
	})
	f.list(f.servers[0], "leaving")
	h := f.hosts[0]
	eventually(t, "the server is seen to leave", func() bool {
		own, _, err := h.status()
		return err == nil && own.Usable == 0
	})
	f.servers[0].id = "server-0-again"
	f.list(f.servers[0], "live")
	eventually(t, "the new server is used", func() bool {
		own, _, err := h.status()
		return err == nil && own.Usable == 1
	})
	o, err := h.client().Submit(background(t), ticketOf(t, h), job(4, 5))
	assert.NilError(t, err)
	checkAnswers(t, o, 4)
}

// ready asks what the balancer asks.
func (h *hostProcess) ready() bool {
	status, err := get(h.caller + "/readyz")
	return err == nil && status == 200
}

// listing reports whether any host has the newest host list.
func (f *fleet) listing() bool {
	for _, h := range f.hosts {
		own, _, err := h.status()
		if err == nil && own.Usable < len(f.servers) {
			return true
		}
	}
	return false
}
