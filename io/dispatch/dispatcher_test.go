package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/job"
	"rosemarywalk/core/place"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/executor"
	"rosemarywalk/io/telemetry"
)

// fakeSender refuses a quarter of the sends at random and counts the others by task.
type fakeSender struct {
	mu    sync.Mutex
	rng   *rand.Rand
	runs  map[string]int
	block chan struct{} // sends wait until it is closed; nil to return immediately
}

func (f *fakeSender) Send(ctx context.Context, t executor.Task) executor.Reply {
	f.mu.Lock()
	refused := f.rng.IntN(4) == 0
	if !refused {
		f.runs[t.Name]++
	}
	f.mu.Unlock()
	if refused {
		return executor.Reply{
			Result: place.Refused,
			Reason: core.ReasonBusy,
		}
	}
	if f.block != nil {
		select {
		case <-f.block:
		case <-ctx.Done():
			return executor.Reply{Result: place.Aborted}
		}
	}
	return executor.Reply{Answer: job.Answer{Body: t.Body}}
}

func newTestDispatcher(sender Sender) *Dispatcher {
	d := New(Config{
		Shards: 4,
		Bytes:  1 << 20,
		Retention: job.Retention{
			Age:   time.Minute,
			Bytes: 1 << 20,
		},
		Policy: place.Window{
			Factor: 2,
			Least:  1,
		},
		Limits: place.Limits{
			MaxWaiting: 10000,
			RetryRatio: 1,
			RetryMost:  10000,
			Health: health.Limits{
				Failures: 3,
				Backoff:  time.Second,
				Most:     time.Minute,
			},
		},
	}, ticket.NewIssuer(ticket.Incarnation{1}, "127.0.0.1:7100", "makati"), sender,
		telemetry.NewCounters(prometheus.NewRegistry()), logr.Discard())
	d.SetServers(map[string][]place.Server{"valuation": {{
		ID:          "s",
		Address:     "127.0.0.1:8000",
		Slots:       8,
		Connections: 64,
	}}})
	return d
}

func newSubmission(tasks int) Submission {
	sub := Submission{
		Service:  "valuation",
		Deadline: time.Minute,
	}
	for i := range tasks {
		sub.Bodies = append(sub.Bodies, fmt.Append(nil, i))
	}
	return sub
}

// TestSubmitConcurrently checks that concurrent submissions under the same ticket run
// each task once, despite refusals, and that all of them get the complete answer.
func TestSubmitConcurrently(t *testing.T) {
	f := &fakeSender{
		rng:  rand.New(rand.NewPCG(1, 1)),
		runs: map[string]int{},
	}
	d := newTestDispatcher(f)
	var wg sync.WaitGroup
	for range 10 {
		id := d.Issue().ID
		for range 5 {
			wg.Go(func() {
				outcome, ok := d.Submit(context.Background(), id, newSubmission(20))
				assert.Check(t, ok && outcome.Complete, "%+v", outcome)
				for i, a := range outcome.Answers {
					assert.Check(t, string(a.Body) == fmt.Sprint(i), "answer %d is %s", i, a.Body)
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, len(f.runs), 200)
	for name, n := range f.runs {
		assert.Equal(t, n, 1, name)
	}
	waitForSends(d)
	assert.Equal(t, d.Load().Waiting, 0)
}

// waitForSends returns when no send is outstanding. A job receives its last answer
// before the pool does, so its caller may return earlier.
func waitForSends(d *Dispatcher) {
	for d.Load().Outstanding > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestCancelAborts checks that canceling a job aborts its sends and frees its place in
// the queue.
func TestCancelAborts(t *testing.T) {
	f := &fakeSender{
		rng:   rand.New(rand.NewPCG(1, 1)),
		runs:  map[string]int{},
		block: make(chan struct{}),
	}
	d := newTestDispatcher(f)
	id := d.Issue().ID
	done := make(chan job.Outcome)
	go func() {
		outcome, _ := d.Submit(context.Background(), id, newSubmission(20))
		done <- outcome
	}()
	for d.Load().Outstanding == 0 {
		time.Sleep(time.Millisecond)
	}
	d.Cancel(id)
	outcome := <-done
	assert.Equal(t, outcome.Reason, core.ReasonCanceled)
	assert.Equal(t, outcome.Ran, core.RanMaybe)
	waitForSends(d)
	assert.Equal(t, d.Load().Waiting, 0)
}

// TestSealed checks that a sealed host starts no tasks and never reports a job as not
// run.
func TestSealed(t *testing.T) {
	f := &fakeSender{
		rng:  rand.New(rand.NewPCG(1, 1)),
		runs: map[string]int{},
	}
	d := newTestDispatcher(f)
	used := d.Issue().ID
	_, ok := d.Submit(context.Background(), used, newSubmission(1))
	assert.Assert(t, ok)
	snapshots := d.Seal()
	assert.Equal(t, len(snapshots), 1)
	assert.Assert(t, snapshots[0].Ledger.Spent(used.Sequence))
	assert.Equal(t, d.Ownership(used.Incarnation), Sealed)
	outcome, _ := d.Submit(context.Background(), d.Issue().ID, newSubmission(1))
	assert.Equal(t, outcome.Ran, core.RanMaybe)
	assert.Equal(t, outcome.Reason, core.ReasonUnreachable)
	assert.Equal(t, len(f.runs), 1)
}

// TestServiceUnknownUntilServersLoaded checks that a job isn't refused for an unknown
// service before the first list of backend servers has arrived.
func TestServiceUnknownUntilServersLoaded(t *testing.T) {
	d := New(Config{Shards: 1}, ticket.NewIssuer(ticket.Incarnation{1}, "", ""), &fakeSender{},
		telemetry.NewCounters(prometheus.NewRegistry()), logr.Discard())
	d.config.Bytes = 1 << 20
	outcome, _ := d.Submit(context.Background(), d.Issue().ID, newSubmission(1))
	assert.Equal(t, outcome.Reason, core.ReasonStore)
	d.SetServers(map[string][]place.Server{})
	outcome, _ = d.Submit(context.Background(), d.Issue().ID, newSubmission(1))
	assert.Equal(t, outcome.Reason, core.ReasonService)
}
