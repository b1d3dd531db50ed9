package scheduler

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/roster"
)

// TestCanceledAfterQueueMoved guards against requests that look for a job only under the
// service that its queue has now.
func TestCanceledAfterQueueMoved(t *testing.T) {
	tests := []struct {
		name     string
		at       string // host that gets the requests
		queue    string
		state    string
		canceled bool
	}{
		{
			name:     "at its home",
			at:       "a",
			queue:    "q",
			state:    "running",
			canceled: true,
		},
		{
			name:     "at another host",
			at:       "b",
			queue:    "q",
			state:    "running",
			canceled: true,
		},
		{
			name:  "a job of another queue",
			at:    "b",
			queue: "p",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network, starts, _ := newHomes(t, time.Millisecond)
			outcomes := make(chan work.Outcome, 1)
			job := announcedJob()
			job.Queue = "q"
			go func() {
				outcome, _ := network.schedulers["a"].Do(t.Context(), job)
				outcomes <- outcome
			}()
			<-starts["a"]
			query := Query{
				Queue:   test.queue,
				Service: "other",
				ID:      job.ID,
			}
			s := network.schedulers[test.at]
			state, known := s.Find(t.Context(), query)
			assert.Assert(t, known)
			assert.Equal(t, state, test.state)
			state, known = s.Cancel(t.Context(), query)
			assert.Assert(t, known)
			assert.Equal(t, state, test.state)
			close(network.hold)
			assert.Equal(t, (<-outcomes).State == work.Canceled, test.canceled)
		})
	}
}

// TestUnsubmittedShownAsCanceled guards against an ID that nobody submitted and that is shown
// as a canceled job.
func TestUnsubmittedShownAsCanceled(t *testing.T) {
	network, starts, _ := newHomes(t, time.Millisecond)
	defer close(network.hold)
	job := announcedJob()
	query := Query{
		Queue:   job.Queue,
		Service: job.Service,
		ID:      job.ID,
	}
	state, known := network.schedulers["a"].Cancel(t.Context(), query)
	assert.Assert(t, known)
	assert.Equal(t, state, "")
	for _, address := range []string{"a", "b"} {
		state, known = network.schedulers[address].Find(t.Context(), query)
		assert.Assert(t, known)
		assert.Equal(t, state, "")
	}
	// Once submitted, it is one.
	outcome, ok := network.schedulers["b"].Do(t.Context(), job)
	assert.Assert(t, ok)
	assert.Equal(t, outcome.State, work.Canceled)
	state, _ = network.schedulers["a"].Find(t.Context(), query)
	assert.Equal(t, state, string(work.Canceled))
	assert.Equal(t, len(starts["a"])+len(starts["b"]), 0)
}

// TestCanceledWhileHomeSilent guards against a cancelling that is acknowledged while the job's
// home is silent, and that the home never learns of.
func TestCanceledWhileHomeSilent(t *testing.T) {
	const callerTimeout = 300 * time.Millisecond
	tests := []struct {
		name   string
		silent time.Duration // after the request; 0 until its caller has left
		known  bool
		wake   func(home *Scheduler)
	}{
		{
			name:   "it answers in time",
			silent: callerTimeout / 3,
			known:  true,
			wake:   func(*Scheduler) {},
		},
		{
			name: "it announces the job later",
			wake: (*Scheduler).announce,
		},
		{
			name: "it asks later what it missed",
			wake: func(home *Scheduler) {
				home.ask("s", schedule.AskCmd{
					Host:  "b",
					Until: time.Now().Add(time.Minute),
				})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network, starts, _ := newHomes(t, time.Millisecond)
			defer close(network.hold)
			home := network.schedulers["a"]
			outcomes := make(chan work.Outcome, 1)
			go func() {
				outcome, _ := home.Do(t.Context(), announcedJob())
				outcomes <- outcome
			}()
			<-starts["a"]
			network.setDown("a", true)
			if test.silent > 0 {
				time.AfterFunc(test.silent, func() { network.setDown("a", false) })
			}
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			_, known := network.schedulers["b"].Cancel(ctx, Query{
				Service: "s",
				ID:      announcedJob().ID,
			})
			assert.Equal(t, known, test.known)
			network.setDown("a", false)
			test.wake(home)
			assert.Equal(t, (<-outcomes).State, work.Canceled)
		})
	}
}

// TestSilentHostTakenForUnaware guards against a job that is said not to exist while a host that
// may have it is silent.
func TestSilentHostTakenForUnaware(t *testing.T) {
	network, _, _ := newHomes(t, time.Millisecond)
	network.setDown("a", true)
	state, known := network.schedulers["b"].Find(t.Context(), Query{
		Service: "s",
		ID:      announcedJob().ID,
	})
	assert.Equal(t, state, "")
	assert.Assert(t, !known)
}

// TestHostOutOfTouchTakenForUnaware guards against the same of a host that is neither heard nor
// writes its row, but that still counts for majorities.
func TestHostOutOfTouchTakenForUnaware(t *testing.T) {
	const staleAfter = 10 * time.Millisecond
	network, _, _ := newHomes(t, time.Millisecond)
	s := network.schedulers["b"]
	self := member.Host{Address: "b"}
	s.config.Roster = roster.New(member.New(self, member.Limits{DeadAfter: time.Minute}, rand.New(rand.NewPCG(1, 1))), network, time.Second, staleAfter, 100, 100, 100, s.config.Counters, logr.Discard())
	rows := []listing.Host{{
		Name:           "c",
		Address:        "c",
		HeartbeatCount: 1,
	}}
	s.config.Roster.SetListedHosts(rows)
	time.Sleep(staleAfter)
	s.config.Roster.SetListedHosts(rows)
	state, known := s.Find(t.Context(), Query{
		Service: "s",
		ID:      announcedJob().ID,
	})
	assert.Equal(t, state, "")
	assert.Assert(t, !known)
}

// TestJoinedInOtherQueue guards against a caller that joins another queue's job with the same ID
// at the home that announced it.
func TestJoinedInOtherQueue(t *testing.T) {
	network, starts, _ := newHomes(t, time.Millisecond)
	outcomes := make(chan work.Outcome, 1)
	job := announcedJob()
	job.Queue = "q"
	go func() {
		outcome, _ := network.schedulers["a"].Do(t.Context(), job)
		outcomes <- outcome
	}()
	<-starts["a"]
	network.schedulers["a"].announce()
	<-network.announced
	other := announcedJob()
	other.Queue, other.First = "p", true
	outcome, ok := network.schedulers["b"].Do(t.Context(), other)
	assert.Assert(t, ok)
	assert.Equal(t, outcome.State, work.Refused)
	network.schedulers["b"].sendDrop("a", other)
	close(network.hold)
	assert.Equal(t, (<-outcomes).State, work.Completed)
	assert.Equal(t, len(starts["b"]), 0)
}
