package proof

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/io/client"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/proxy"
)

// TestHoldStartsOnce: every task of a submission starts at most once.
func TestHoldStartsOnce(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{
			name: "resubmitted at all hosts at once",
			run:  resubmittedEverywhere,
		},
		{
			name: "owner killed",
			run:  ownerKilled,
		},
		{
			name: "owner replaced at the same address",
			run:  ownerReplaced,
		},
		{
			name: "owner frozen past every timeout, then resumed",
			run:  ownerFrozen,
		},
		{
			name: "owner cut off from the forwarder",
			run:  ownerCut,
		},
		{
			name: "planned stop hands over",
			run:  ownerStopped,
		},
		{
			name: "hand-over's answer lost",
			run:  handOverAnswerLost,
		},
		{
			name: "idempotency key with the platform losing answers",
			run:  keyWithLostAnswers,
		},
		{
			name: "idempotency key with the platform down",
			run:  keyWithPlatformDown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
				hosts:         3,
				servers:       3,
				slots:         8,
				extraSettings: "[drain]\nlinger = 100ms\nlimit = 30s\nhandover = 20s",
			})
			test.run(t, f)
			_, twice := f.countStarts()
			assert.Equal(t, twice, 0, "tasks started twice")
		})
	}
}

// submitAtAllHosts submits one job under one ticket concurrently, perHost times at
// each host, and returns the outcomes.
func submitAtAllHosts(t *testing.T, f *fleet, ticket string, j client.Job, perHost int) []client.Outcome {
	t.Helper()
	var mu sync.Mutex
	var outcomes []client.Outcome
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for range perHost {
			wg.Go(func() {
				o, err := h.client().Submit(testContext(t), ticket, j)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
	}
	wg.Wait()
	return outcomes
}

func fetchTicket(t *testing.T, h *hostProcess) string {
	t.Helper()
	ticket, err := h.client().Ticket(testContext(t))
	assert.NilError(t, err)
	return ticket
}

func resubmittedEverywhere(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[0])
	outcomes := submitAtAllHosts(t, f, ticket, job(40, 30), 5)
	assert.Equal(t, len(outcomes), 15)
	for _, o := range outcomes {
		checkAnswers(t, o, 40)
	}
	total, _ := f.countStarts()
	assert.Equal(t, total, 40)
}

// submitAsync submits a job in the background and waits until one of
// its tasks has started.
func submitAsync(t *testing.T, f *fleet, host *hostProcess, ticket string, j client.Job) <-chan client.Outcome {
	t.Helper()
	before, _ := f.countStarts()
	done := make(chan client.Outcome, 1)
	go func() {
		o, _ := host.client().Submit(testContext(t), ticket, j)
		done <- o
	}()
	eventually(t, "tasks start", func() bool {
		total, _ := f.countStarts()
		return total > before
	})
	return done
}

func ownerKilled(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[0])
	done := submitAsync(t, f, f.hosts[1], ticket, job(200, 100))
	f.hosts[0].kill()
	o := <-done
	assert.Equal(t, o.Ran, core.RanMaybe)
	assert.Equal(t, o.Reason, core.ReasonUnreachable)
	started, _ := f.countStarts()
	for _, h := range f.hosts[1:] {
		o, err := h.client().Submit(testContext(t), ticket, job(200, 100))
		assert.NilError(t, err)
		assert.Equal(t, o.Ran, core.RanMaybe)
	}
	total, _ := f.countStarts()
	assert.Equal(t, total, started, "a host started tasks under a ticket of another host")
}

func ownerReplaced(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[0])
	submitAsync(t, f, f.hosts[1], ticket, job(200, 100))
	f.hosts[0].kill()
	f.hosts[0].start()
	f.waitForConvergence()
	started, _ := f.countStarts()
	for _, h := range f.hosts {
		o, err := h.client().Submit(testContext(t), ticket, job(200, 100))
		assert.NilError(t, err)
		assert.Equal(t, o.Ran, core.RanMaybe)
		assert.Equal(t, o.Reason, core.ReasonLost)
	}
	total, _ := f.countStarts()
	assert.Equal(t, total, started, "the replacement started the lost job's tasks")
}

func ownerFrozen(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[0])
	done := submitAsync(t, f, f.hosts[1], ticket, job(100, 300))
	f.hosts[0].signal(syscall.SIGSTOP)
	o := <-done
	assert.Equal(t, o.Ran, core.RanMaybe, "%+v", o)
	eventually(t, "the other hosts consider the owner dead", func() bool {
		_, all, err := f.hosts[1].status()
		return err == nil && len(all) == 2
	})
	o, err := f.hosts[2].client().Submit(testContext(t), ticket, job(100, 300))
	assert.NilError(t, err)
	assert.Equal(t, o.Ran, core.RanMaybe)
	f.hosts[0].signal(syscall.SIGCONT)
	eventually(t, "the resumed owner answers", func() bool {
		o, err = f.hosts[2].client().Submit(testContext(t), ticket, job(100, 300))
		return err == nil && o.Complete()
	})
	checkAnswers(t, o, 100)
}

func ownerCut(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[0])
	done := submitAsync(t, f, f.hosts[1], ticket, job(100, 200))
	f.hosts[0].peerProxy.SetFault(f.hosts[1].ip, proxy.Partition())
	o := <-done
	assert.Equal(t, o.Ran, core.RanMaybe)
	assert.Equal(t, o.Reason, core.ReasonUnreachable)
	f.hosts[0].peerProxy.ClearFault(f.hosts[1].ip)
	o, err := f.hosts[1].client().Submit(testContext(t), ticket, job(100, 200))
	assert.NilError(t, err)
	checkAnswers(t, o, 100)
}

func ownerStopped(t *testing.T, f *fleet) {
	tickets, err := f.hosts[0].client().Tickets(testContext(t), 2)
	assert.NilError(t, err)
	done := submitAsync(t, f, f.hosts[1], tickets[0], job(100, 100))
	f.hosts[0].signal(syscall.SIGTERM)
	checkAnswers(t, <-done, 100)
	f.hosts[0].waitForExit()
	f.hosts = f.hosts[1:]
	for _, h := range f.hosts {
		eventually(t, "the successor answers for the stopped host", func() bool {
			o, err := h.client().Submit(testContext(t), tickets[0], job(100, 100))
			return err == nil && o.Complete()
		})
		// The unused ticket is still valid for one start.
		o, err := h.client().Submit(testContext(t), tickets[1], job(10, 10))
		assert.NilError(t, err)
		checkAnswers(t, o, 10)
	}
	total, _ := f.countStarts()
	assert.Equal(t, total, 110)
}

func handOverAnswerLost(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[0])
	o, err := f.hosts[1].client().Submit(testContext(t), ticket, job(20, 20))
	assert.NilError(t, err)
	checkAnswers(t, o, 20)
	// Either host may become the successor; the answers of both get lost.
	for _, h := range f.hosts[1:] {
		h.peerProxy.SetFault(f.hosts[0].ip, proxy.Fault{HoldBack: true})
	}
	f.hosts[0].signal(syscall.SIGTERM)
	time.AfterFunc(4*time.Second, func() {
		for _, h := range f.hosts[1:] {
			h.peerProxy.ClearFault(f.hosts[0].ip)
		}
	})
	f.hosts[0].waitForExit()
	f.hosts = f.hosts[1:]
	for _, h := range f.hosts {
		eventually(t, "the successor answers through every host", func() bool {
			o, err := h.client().Submit(testContext(t), ticket, job(20, 20))
			return err == nil && o.Complete()
		})
	}
	successors := 0
	for _, h := range f.hosts {
		own, _, err := h.status()
		assert.NilError(t, err)
		successors += own.Successors
	}
	assert.Equal(t, successors, 1, "number of hosts that answer for the stopped one")
}

func keyWithLostAnswers(t *testing.T, f *fleet) {
	f.platform.SetFaults(platform.Faults{LostAnswers: 0.5})
	for i, key := range []string{"sample-1", "sample/2", "sample 3", "muestra-ñ4"} {
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			for range 3 {
				wg.Go(func() { _, _ = h.client().SubmitWithKey(testContext(t), key, job(10, 20)) })
			}
		}
		wg.Wait()
		eventually(t, "a resubmission gets the complete answer", func() bool {
			o, err := f.hosts[i%3].client().SubmitWithKey(testContext(t), key, job(10, 20))
			return err == nil && o.Complete()
		})
		total, _ := f.countStarts()
		assert.Equal(t, total, 10*(i+1))
	}
}

func keyWithPlatformDown(t *testing.T, f *fleet) {
	o, err := f.hosts[0].client().SubmitWithKey(testContext(t), "known", job(5, 10))
	assert.NilError(t, err)
	checkAnswers(t, o, 5)
	f.platform.SetFaults(platform.Faults{Down: true})
	o, err = f.hosts[1].client().SubmitWithKey(testContext(t), "known", job(5, 10))
	assert.NilError(t, err)
	assert.Equal(t, o.Reason, core.ReasonStore)
	assert.Equal(t, o.Ran, core.RanMaybe, "a job under this key ran at another host")
	// Submissions under a ticket don't depend on the platform.
	o, err = f.hosts[1].client().Submit(testContext(t), fetchTicket(t, f.hosts[2]), job(5, 10))
	assert.NilError(t, err)
	checkAnswers(t, o, 5)
	f.platform.SetFaults(platform.Faults{})
	o, err = f.hosts[2].client().SubmitWithKey(testContext(t), "known", job(5, 10))
	assert.NilError(t, err)
	checkAnswers(t, o, 5)
	total, _ := f.countStarts()
	assert.Equal(t, total, 10)
}
