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

// fake is a Sender that refuses some sends and counts the others by task.
type fake struct {
	mu    sync.Mutex
	rng   *rand.Rand
	runs  map[string]int
	block chan struct{} // closed when sends may end; nil to end at once
}

func (f *fake) Send(ctx context.Context, t executor.Task) executor.Reply {
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

func newTest(sender Sender) *Dispatcher {
	d := New(Config{
		Shards: 4,
		Bytes:  1 << 20,
		Retention: job.Retention{
			Age:   time.Minute,
			Bytes: 1 << 20,
		},
		Policy: place.Window{
			Factor:         2,
			MinOutstanding: 1,
		},
		Limits: place.Limits{
			MaxWaiting: 10000,
			RetryRatio: 1,
			RetryMost:  10000,
			Health: health.Limits{
				FailureThreshold: 3,
				Backoff:          time.Second,
				MaxBackoff:       time.Minute,
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

func submissionOf(tasks int) Submission {
	sub := Submission{
		Service:  "valuation",
		Deadline: time.Minute,
	}
	for i := range tasks {
		sub.Bodies = append(sub.Bodies, fmt.Append(nil, i))
	}
	return sub
}

// TestSubmitTogether: submissions of the same tickets at once run each task
// once, whatever is refused in between, and all get the whole answer.
func TestSubmitTogether(t *testing.T) {
	f := &fake{
		rng:  rand.New(rand.NewPCG(1, 1)),
		runs: map[string]int{},
	}
	d := newTest(f)
	var wg sync.WaitGroup
	for range 10 {
		id := d.Issue().ID
		for range 5 {
			wg.Go(func() {
				outcome, ok := d.Submit(context.Background(), id, submissionOf(20))
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
	settled(d)
	assert.Equal(t, d.Load().Waiting, 0)
}

// settled returns when no send is outstanding. A job hears of its last answer
// before the queue does, so its caller can be back before that.
func settled(d *Dispatcher) {
	for d.Load().Outstanding > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestCancelAborts: a canceled job's sends end, and its place is free again.
func TestCancelAborts(t *testing.T) {
	f := &fake{
		rng:   rand.New(rand.NewPCG(1, 1)),
		runs:  map[string]int{},
		block: make(chan struct{}),
	}
	d := newTest(f)
	id := d.Issue().ID
	done := make(chan job.Outcome)
	go func() {
		outcome, _ := d.Submit(context.Background(), id, submissionOf(20))
		done <- outcome
	}()
	for d.Load().Outstanding == 0 {
		time.Sleep(time.Millisecond)
	}
	d.Cancel(id)
	outcome := <-done
	assert.Equal(t, outcome.Reason, core.ReasonCanceled)
	assert.Equal(t, outcome.Ran, core.RanMaybe)
	settled(d)
	assert.Equal(t, d.Load().Waiting, 0)
}

// TestSealed: a sealed host starts nothing and says "not run" of nothing.
func TestSealed(t *testing.T) {
	f := &fake{
		rng:  rand.New(rand.NewPCG(1, 1)),
		runs: map[string]int{},
	}
	d := newTest(f)
	used := d.Issue().ID
	_, ok := d.Submit(context.Background(), used, submissionOf(1))
	assert.Assert(t, ok)
	snapshots := d.Seal()
	assert.Equal(t, len(snapshots), 1)
	assert.Assert(t, snapshots[0].Ledger.Spent(used.Sequence))
	assert.Equal(t, d.Ownership(used.Incarnation), Sealed)
	outcome, _ := d.Submit(context.Background(), d.Issue().ID, submissionOf(1))
	assert.Equal(t, outcome.Ran, core.RanMaybe)
	assert.Equal(t, outcome.Reason, core.ReasonUnreachable)
	assert.Equal(t, len(f.runs), 1)
}

// TestNothingKnownYet: before the first host list a service isn't unknown.
func TestNothingKnownYet(t *testing.T) {
	d := New(Config{Shards: 1}, ticket.NewIssuer(ticket.Incarnation{1}, "", ""), &fake{},
		telemetry.NewCounters(prometheus.NewRegistry()), logr.Discard())
	d.config.Bytes = 1 << 20
	outcome, _ := d.Submit(context.Background(), d.Issue().ID, submissionOf(1))
	assert.Equal(t, outcome.Reason, core.ReasonStore)
	d.SetServers(map[string][]place.Server{})
	outcome, _ = d.Submit(context.Background(), d.Issue().ID, submissionOf(1))
	assert.Equal(t, outcome.Reason, core.ReasonService)
}
