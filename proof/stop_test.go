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

// TestHoldNotRun: for each reason for which a job is refused as "not run", none of
// its tasks was started.
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
				o, err := f.hosts[0].client().Submit(testContext(t), fetchTicket(t, f.hosts[0]), job(50, 100))
				assert.NilError(t, err)
				checkAnswers(t, o, 50)
			},
		},
		{
			name:     "all servers refuse and the retry budget ends",
			reason:   core.ReasonBudget,
			settings: "[dispatch]\nretries = 0\nsaved = 3",
			// With more than one task sent, the first that gives up doesn't know
			// whether the others started, and the answer is "maybe".
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
				// A long job keeps the draining host from exiting.
				submitAsync(t, f, f.hosts[0], fetchTicket(t, f.hosts[0]), job(1, 3000))
				f.hosts[0].signal(syscall.SIGTERM)
				eventually(t, "the shutdown begins", func() bool {
					return f.hosts[0].hasLogged("stopping")
				})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
				hosts:         1,
				servers:       2,
				slots:         4,
				extraSettings: test.settings,
			})
			ticket := fetchTicket(t, f.hosts[0])
			if test.before != nil {
				test.before(t, f)
			}
			before, _ := f.countStarts()
			for range 3 {
				o, err := f.hosts[0].client().Submit(testContext(t), ticket, test.job())
				assert.NilError(t, err)
				assert.Equal(t, o.State, "failed")
				assert.Equal(t, o.Ran, core.RanNo)
				assert.Equal(t, o.Reason, test.reason)
			}
			after, _ := f.countStarts()
			assert.Equal(t, after, before, "tasks started although the answer was \"not run\"")
		})
	}
}

// TestHoldNotRunUnlessKnown: a host that can't know whether a job ran answers
// "maybe", not "not run".
func TestHoldNotRunUnlessKnown(t *testing.T) {
	f := newFleet(t, fleetOptions{
		hosts:   2,
		servers: 2,
		slots:   4,
	})
	ticket := fetchTicket(t, f.hosts[0])
	o, err := f.hosts[0].client().Submit(testContext(t), ticket, job(5, 1))
	assert.NilError(t, err)
	checkAnswers(t, o, 5)
	f.hosts[0].kill()
	o, err = f.hosts[1].client().Submit(testContext(t), ticket, job(5, 1))
	assert.NilError(t, err)
	assert.Equal(t, o.Ran, core.RanMaybe)
	f.platform.SetFaults(platform.Faults{Down: true})
	o, err = f.hosts[1].client().SubmitWithKey(testContext(t), "any", job(5, 1))
	assert.NilError(t, err)
	assert.Equal(t, o.Ran, core.RanMaybe)
}

func (h *hostProcess) hasLogged(text string) bool {
	return containsMessage(h.log.String(), text)
}

// TestHoldPlannedStop: a graceful shutdown drops no request in flight.
func TestHoldPlannedStop(t *testing.T) {
	for _, scope := range []string{"host", "fleet"} {
		t.Run("home is the "+scope, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
				hosts:         3,
				servers:       4,
				slots:         8,
				homeScope:     scope,
				extraSettings: "[drain]\nlinger = 500ms\nlimit = 30s",
			})
			stopUnderLoad(t, f, f.homeOf(service))
		})
	}
}

// stopUnderLoad stops a host while callers submit and cancel.
func stopUnderLoad(t *testing.T, f *fleet, target *hostProcess) {
	t.Helper()
	ctx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	var dropped, complete, canceled atomic.Int64
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() { submitUntilDone(ctx, t, f, i, &dropped, &complete, &canceled) })
	}
	time.Sleep(time.Second)
	target.signal(syscall.SIGTERM)
	target.waitForExit()
	time.Sleep(time.Second)
	stopLoad()
	wg.Wait()
	assert.Equal(t, dropped.Load(), int64(0), "requests dropped during the shutdown")
	assert.Assert(t, complete.Load() > 50, "too few completed jobs for this test")
	assert.Assert(t, canceled.Load() > 5, "too few cancellations for this test")
	_, twice := f.countStarts()
	assert.Equal(t, twice, 0)
}

// submitUntilDone submits jobs as callers behind a load balancer do: only to hosts
// that are ready, and each request to a ready host must be answered.
func submitUntilDone(ctx context.Context, t *testing.T, f *fleet, i int, dropped, complete, canceled *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		h := f.hosts[(i+n)%len(f.hosts)]
		if !h.ready() {
			continue
		}
		c := h.client().WithService(service)
		ticket, err := c.Ticket(testContext(t))
		if err != nil {
			dropped.Add(1)
			continue
		}
		if n%5 == 4 {
			time.AfterFunc(10*time.Millisecond, func() { _, _ = c.Cancel(testContext(t), ticket) })
			canceled.Add(1)
		}
		// Every third caller's jobs run longer than the linger time, so some are in
		// flight during the shutdown.
		runMillis := 30
		if i%3 == 0 {
			runMillis = 900
		}
		o, err := c.Submit(testContext(t), ticket, job(6, runMillis))
		switch {
		case err != nil:
			dropped.Add(1)
			t.Logf("dropped: %v", err)
		case o.Complete():
			complete.Add(1)
		case o.Ran != core.RanNo && o.Reason != core.ReasonCanceled:
			dropped.Add(1)
			t.Logf("dropped: %+v", o)
		}
	}
}

// TestHoldDrainLimit: jobs that run past the drain limit fail with "maybe".
func TestHoldDrainLimit(t *testing.T) {
	f := newFleet(t, fleetOptions{
		hosts:         1,
		servers:       1,
		slots:         4,
		extraSettings: "[drain]\nlinger = 0s\nlimit = 300ms",
	})
	done := submitAsync(t, f, f.hosts[0], fetchTicket(t, f.hosts[0]), job(2, 20000))
	f.hosts[0].signal(syscall.SIGTERM)
	o := <-done
	assert.Equal(t, o.State, "failed")
	assert.Equal(t, o.Ran, core.RanMaybe)
	assert.Equal(t, o.Reason, core.ReasonDrainLimit)
	f.hosts[0].waitForExit()
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
			before: func(f *fleet) { f.platformProxy.SetFault(f.hosts[0].ip, proxy.Partition()) },
		},
		{
			name: "the platform goes down just after",
			after: func(f *fleet) {
				eventually(f.t, "one host has read the list", func() bool { return f.removalSeen() })
				f.platform.SetFaults(platform.Faults{Down: true})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
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
						_, _ = f.hosts[i%3].client().Submit(testContext(t), fetchTicket(t, f.hosts[i%3]), job(6, 10))
					}
				})
			}
			if test.before != nil {
				test.before(f)
			}
			f.listServer(f.servers[0], "leaving")
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
			assert.Equal(t, after.Total, before.Total, "tasks started at a leaving server after %s", bound)
			total, _ := f.countStarts()
			assert.Assert(t, total > after.Total, "the other servers got no tasks")
		})
	}
}

// TestHoldReturning: a server that returns under the same address, with a new ID, is used.
func TestHoldReturning(t *testing.T) {
	f := newFleet(t, fleetOptions{
		hosts:   1,
		servers: 1,
		slots:   8,
	})
	f.listServer(f.servers[0], "leaving")
	h := f.hosts[0]
	eventually(t, "the leaving server is no longer used", func() bool {
		own, _, err := h.status()
		return err == nil && own.UsableServers == 0
	})
	f.servers[0].id = "server-0-again"
	f.listServer(f.servers[0], "live")
	eventually(t, "the new server is used", func() bool {
		own, _, err := h.status()
		return err == nil && own.UsableServers == 1
	})
	o, err := h.client().Submit(testContext(t), fetchTicket(t, h), job(4, 5))
	assert.NilError(t, err)
	checkAnswers(t, o, 4)
}

// ready queries the readiness endpoint, as the load balancer does.
func (h *hostProcess) ready() bool {
	status, err := getStatus(h.callerURL + "/readyz")
	return err == nil && status == 200
}

// removalSeen reports whether any host has read a host list without one of the servers.
func (f *fleet) removalSeen() bool {
	for _, h := range f.hosts {
		own, _, err := h.status()
		if err == nil && own.UsableServers < len(f.servers) {
			return true
		}
	}
	return false
}
