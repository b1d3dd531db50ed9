package proof

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/standin/proxy"
)

// homeOf returns a host that is a home of a service, which queues the service's jobs.
func (f *fleet) homeOf(service string) *hostProcess {
	f.t.Helper()
	for _, h := range f.hosts {
		own, _, err := h.status()
		assert.NilError(f.t, err)
		for _, s := range own.HomeServices {
			if s == service {
				return h
			}
		}
	}
	f.t.Fatalf("no home for %s", service)
	return nil
}

// hostsExcept returns all hosts except h.
func (f *fleet) hostsExcept(h *hostProcess) []*hostProcess {
	var others []*hostProcess
	for _, o := range f.hosts {
		if o != h {
			others = append(others, o)
		}
	}
	return others
}

// TestHoldServesWithoutHome: when a service's home is killed, frozen or
// unreachable, the other hosts keep serving and no task starts twice.
func TestHoldServesWithoutHome(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet, home *hostProcess)
	}{
		{
			name:  "killed",
			fault: func(_ *fleet, home *hostProcess) { home.kill() },
		},
		{
			name:  "frozen",
			fault: func(_ *fleet, home *hostProcess) { home.signal(syscall.SIGSTOP) },
		},
		{
			name:  "cut off",
			fault: func(_ *fleet, home *hostProcess) { home.peerProxy.SetFault(proxy.AnySource, proxy.Partition()) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
				hosts:     3,
				servers:   3,
				slots:     8,
				homeScope: "fleet",
			})
			home := f.homeOf(service)
			others := f.hostsExcept(home)
			o, err := others[0].client().WithService(service).Submit(testContext(t), fetchServiceTicket(t, others[0]), job(10, 5))
			assert.NilError(t, err)
			checkAnswers(t, o, 10)
			test.fault(f, home)
			for _, h := range others {
				// Cached tickets may have been issued by the home, until it is detected as dead.
				eventually(t, h.name+" serves", func() bool {
					o, err := h.client().Submit(testContext(t), fetchServiceTicket(t, h), job(10, 5))
					return err == nil && o.Complete()
				})
			}
			_, twice := f.countStarts()
			assert.Equal(t, twice, 0)
		})
	}
}

// fetchServiceTicket fetches one ticket for the test service.
func fetchServiceTicket(t *testing.T, h *hostProcess) string {
	t.Helper()
	tickets, err := h.client().WithService(service).Tickets(testContext(t), 1)
	assert.NilError(t, err)
	return tickets[0]
}

// TestHoldConnections: all hosts together stay within a server's connection limit,
// also while a home moves under load.
func TestHoldConnections(t *testing.T) {
	const connections = 64
	for _, scope := range []string{"host", "fleet"} {
		t.Run("home is the "+scope, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
				hosts:         3,
				servers:       2,
				slots:         64,
				homeScope:     scope,
				extraSettings: "[dispatch]\nwindow = 100\n[drain]\nlinger = 200ms",
			})
			var stop atomic.Bool
			var wg sync.WaitGroup
			for i := range 30 {
				wg.Go(func() {
					for n := 0; !stop.Load(); n++ {
						h := f.hosts[(i+n)%3]
						if !h.ready() {
							continue
						}
						tickets, err := h.client().WithService(service).Tickets(testContext(t), 1)
						if err == nil {
							_, _ = h.client().Submit(testContext(t), tickets[0], job(50, 50))
						}
					}
				})
			}
			time.Sleep(2 * time.Second)
			home := f.homeOf(service)
			home.signal(syscall.SIGTERM)
			home.waitForExit()
			time.Sleep(2 * time.Second)
			stop.Store(true)
			wg.Wait()
			for _, s := range f.servers {
				peak := s.Starts().MaxOpenConns
				assert.Assert(t, peak <= connections, "%d concurrent connections", peak)
				assert.Assert(t, peak > connections/4, "only %d connections, too little load for this test", peak)
			}
		})
	}
}
