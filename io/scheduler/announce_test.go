package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// homesNetwork carries frames between Schedulers in memory, by address.
type homesNetwork struct {
	mu         sync.Mutex
	schedulers map[string]*Scheduler
	down       map[string]bool // addresses that can't be reached
	frames     []wire.Frame    // all frames sent, in order
	announced  chan string     // addresses that have received an announcement
	hold       chan struct{}   // tasks are not done before this is closed
}

func (n *homesNetwork) to(address string, f wire.Frame) *Scheduler {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frames = append(n.frames, f)
	if n.down[address] {
		return nil
	}
	return n.schedulers[address]
}

// joins returns the number of calls that pass a job on to the home that announced it.
func (n *homesNetwork) joins() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, f := range n.frames {
		if f.Submit != nil && f.Submit.Join {
			count++
		}
	}
	return count
}

func (n *homesNetwork) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func (n *homesNetwork) Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error) {
	s := n.to(address, f)
	if s == nil {
		return wire.Frame{}, errors.Trace(peer.ErrNoLink)
	}
	if f.Open != nil {
		answer, _ := s.ServeOpen(ctx, f)
		n.announced <- address
		return answer, nil
	}
	if f.Find != nil {
		answer, _ := s.ServeFind(ctx, f)
		return answer, nil
	}
	if f.Crash != nil {
		answer, _ := s.ServeCrash(ctx, f)
		return answer, nil
	}
	if f.Unknown != nil {
		answer, _ := s.ServeUnknown(ctx, f)
		return answer, nil
	}
	answers := make(chan wire.Frame, 1)
	go func() {
		// The context of a call ends at the other host only with the link.
		if answer, ok := s.ServeSubmit(context.WithoutCancel(ctx), f); ok {
			answers <- answer
		}
	}()
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return wire.Frame{}, errors.WithType(ctx.Err(), peer.ErrLinkClosed)
	}
}

func (n *homesNetwork) Send(ctx context.Context, address string, f wire.Frame) error {
	s := n.to(address, f)
	switch {
	case s == nil:
		return errors.Trace(peer.ErrNoLink)
	case f.Halt != nil:
		s.ServeHalt(ctx, f)
	}
	return nil
}

func (n *homesNetwork) Reachable(string) {}

// newHomes returns the homes of two failure domains, each with a backend server that runs
// the task of job j for a time, and until the network's hold is closed.
func newHomes(t *testing.T, runTime time.Duration) (network *homesNetwork, starts map[string]chan string, stops chan string) {
	t.Helper()
	network = &homesNetwork{
		schedulers: map[string]*Scheduler{},
		down:       map[string]bool{},
		announced:  make(chan string, 10),
		hold:       make(chan struct{}),
	}
	starts, stops = map[string]chan string{}, make(chan string, 10)
	addresses := []string{"a", "b"}
	for _, address := range addresses {
		starts[address] = make(chan string, 10)
		counters := telemetry.NewCounters(telemetry.NewRegistry())
		self := member.Host{
			Address: address,
			Domain:  "domain-" + address,
			CPU:     800,
		}
		r := roster.New(member.New(self, member.Limits{DeadAfter: time.Minute}, rand.New(rand.NewPCG(1, 1))), network, time.Second, time.Second, 100, 100, 100, counters, logr.Discard())
		for _, other := range addresses {
			if other == address {
				continue
			}
			r.ServeBeat(t.Context(), wire.Frame{Beat: &wire.Beat{
				Host:    other,
				Address: other,
				Domain:  "domain-" + other,
				Cores:   800,
				Count:   1,
			}})
		}
		s := New(Config{
			Self: address,
			Servers: &fakeServer{
				runTime: runTime,
				starts:  starts[address],
				stops:   stops,
				hold:    network.hold,
			},
			Peers:  network,
			Roster: r,
			Pool: pool.Limits{
				Lease: time.Second,
				Health: health.Limits{
					FailureThreshold: 2,
					InitialBackoff:   time.Second,
					MaxBackoff:       time.Second,
				},
				SlowFactor:    3,
				MaxSlowdown:   2,
				StartTimeout:  time.Second,
				AnswerTimeout: time.Second,
			},
			Jobs: schedule.Limits{
				MaxJobs:          10,
				OutcomeRetention: time.Minute,
				AnnouncementTTL:  time.Minute,
			},
			Answer:   time.Second,
			Canceled: time.Minute,
			Counters: counters,
			Log:      logr.Discard(),
		})
		network.mu.Lock()
		network.schedulers[address] = s
		network.mu.Unlock()
		// The process has run for longer than an announcement counts.
		s.Shard("s").jobs.Update(time.Now().Add(-time.Hour), schedule.TickMsg{})
		s.Shard("s").update(pool.AssignMsg{
			Servers: []listing.Server{{
				ID:       "server-" + address,
				Domain:   self.Domain,
				Capacity: work.Size{CPU: 1000},
			}},
			Token: 1,
		})
		for s.Shard("s").Capacity().TotalCPU == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return network, starts, stops
}

func announcedJob() work.Job {
	now := time.Now()
	return work.Job{
		ID:      "j",
		Service: "s",
		Steps: []work.Step{{
			Count: 1,
			Size:  work.Size{CPU: 500},
		}},
		MaxAttempts: 1,
		Arrived:     now,
		Deadline:    now.Add(time.Minute),
	}
}

// TestResentElsewhere guards against a second run of a job that its caller sends again to
// another failure domain while its first connection stays open without traffic.
func TestResentElsewhere(t *testing.T) {
	tests := []struct {
		name   string
		down   bool // the announcing home can't be reached
		absent bool // the announcing home doesn't know the job
		starts int  // at the second home
		want   work.Outcome
	}{
		{
			name: "joined",
			want: work.Outcome{
				State: work.Completed,
				Home:  "a",
			},
		},
		{
			name: "the announcing home can't be reached",
			down: true,
			want: work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonLink,
				Home:   "a",
			},
		},
		{
			name:   "the announcing home doesn't know the job",
			absent: true,
			starts: 1,
			want: work.Outcome{
				State: work.Completed,
				Home:  "b",
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network, starts, _ := newHomes(t, 300*time.Millisecond)
			a, b := network.schedulers["a"], network.schedulers["b"]
			first := make(chan work.Outcome, 1)
			if test.absent {
				b.ServeOpen(t.Context(), wire.Frame{Open: &wire.Open{
					Service: "s",
					Host:    "a",
					Jobs:    []string{"j"},
				}})
			} else {
				go func() {
					outcome, _ := a.Do(t.Context(), announcedJob())
					first <- outcome
				}()
				<-starts["a"]
				a.announce()
				<-network.announced
			}
			close(network.hold)
			network.mu.Lock()
			network.down["a"] = test.down
			network.mu.Unlock()
			outcome, ok := b.Do(t.Context(), announcedJob())
			assert.Assert(t, ok)
			assert.Equal(t, outcome, test.want)
			assert.Equal(t, len(starts["b"]), test.starts)
			assert.Equal(t, network.joins(), 1)
			if !test.absent {
				assert.Equal(t, (<-first).State, work.Completed)
			}
		})
	}
}

// TestNotForwardedTwice guards against a job that is passed on between homes that each
// have an announcement of the other.
func TestNotForwardedTwice(t *testing.T) {
	network, starts, _ := newHomes(t, 10*time.Millisecond)
	close(network.hold)
	for address, other := range map[string]string{
		"a": "b",
		"b": "a",
	} {
		network.schedulers[address].ServeOpen(t.Context(), wire.Frame{Open: &wire.Open{
			Service: "s",
			Host:    other,
			Jobs:    []string{"j"},
		}})
	}
	outcome, ok := network.schedulers["b"].Do(t.Context(), announcedJob())
	assert.Assert(t, ok)
	assert.Equal(t, outcome.State, work.Completed)
	assert.Equal(t, network.joins(), 1)
	assert.Equal(t, len(starts["a"]), 0)
	assert.Equal(t, len(starts["b"]), 1)
}

// TestJoinWithdrawn guards against a joined job that runs on after all of its callers have
// left.
func TestJoinWithdrawn(t *testing.T) {
	tests := []struct {
		name  string
		leave func(cancel context.CancelFunc, b *Scheduler)
	}{
		{
			name:  "the caller's connection closes",
			leave: func(cancel context.CancelFunc, _ *Scheduler) { cancel() },
		},
		{
			name: "the host that received the job withdraws it",
			leave: func(_ context.CancelFunc, b *Scheduler) {
				b.ServeHalt(context.Background(), wire.Frame{Halt: &wire.Halt{
					Service: "s",
					Job:     "j",
				}})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			network, starts, stops := newHomes(t, time.Second)
			defer close(network.hold)
			a, b := network.schedulers["a"], network.schedulers["b"]
			atA := a.Shard("s")
			atA.update(schedule.SubmitMsg{
				Job:    announcedJob(),
				Caller: "first",
			})
			<-starts["a"]
			a.announce()
			<-network.announced
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			answered := make(chan bool, 1)
			go func() {
				_, ok := b.coordinate(ctx, schedule.SubmitMsg{
					Job:    announcedJob(),
					Remote: true,
				}, 0)
				answered <- ok
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				atA.mu.Lock()
				defer atA.mu.Unlock()
				if len(atA.callers) > 0 {
					return poll.Success()
				}
				return poll.Continue("not joined")
			}, poll.WithDelay(time.Millisecond))
			atA.update(schedule.CallerGoneMsg{Caller: "first"})
			assert.Equal(t, a.Unfinished(), 2, "a job and its run")
			test.leave(cancel, b)
			assert.Assert(t, !<-answered)
			assert.Equal(t, <-stops, "j.0.0.0")
		})
	}
}
