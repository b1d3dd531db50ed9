package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// fakeServer runs one task for a fixed time, and records starts and stops.
type fakeServer struct {
	born    int64
	runTime time.Duration
	starts  chan string
	stops   chan string
	hold    chan struct{} // a task is not done before this is closed, unless it is nil
}

func (f *fakeServer) Start(_ context.Context, cmd pool.StartCmd) pool.StartedMsg {
	f.starts <- cmd.Task.Name()
	return pool.StartedMsg{
		Server: cmd.Server,
		Name:   cmd.Task.Name(),
		Run:    cmd.Task.Run,
		Clock:  1,
	}
}

func (f *fakeServer) Stop(_ context.Context, cmd pool.StopCmd) pool.StoppedMsg {
	f.stops <- cmd.Name
	return pool.StoppedMsg{
		Server: cmd.Server,
		Name:   cmd.Name,
		Run:    cmd.Run,
		Clock:  1,
	}
}

// Hold reports the task of these tests as done after its run time.
func (f *fakeServer) Hold(_ context.Context, cmd pool.PollCmd) pool.PollResultMsg {
	msg := pool.PollResultMsg{
		Server: cmd.Server,
		Serial: cmd.Serial,
		Sent:   time.Now(),
		Clock:  1,
		Born:   f.born,
	}
	if cmd.Deadline == 0 {
		return msg
	}
	if f.hold != nil {
		<-f.hold
	}
	time.Sleep(f.runTime)
	msg.Ended = []pool.ListedEnd{{
		Number: cmd.LastEnd + 1,
		Name:   "j.0.0.0",
		Run:    1,
		End:    work.EndDone,
	}}
	return msg
}

// testPoolLimits returns the limits of the pools of these tests.
func testPoolLimits() pool.Limits {
	return pool.Limits{
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
	}
}

func newShard(servers Servers) *Shard {
	return newShardWith(Config{
		Servers: servers,
		Pool:    testPoolLimits(),
	})
}

// newShardWith returns a shard that owns a server, with the common settings of these tests.
func newShardWith(c Config) *Shard {
	c.Jobs.MaxJobs, c.Answer, c.Reattach = 10, time.Second, 100*time.Millisecond
	c.Counters, c.Log = telemetry.NewCounters(telemetry.NewRegistry()), logr.Discard()
	s := New(c).newShard("service", "")
	s.update(pool.AssignMsg{
		Servers: []listing.Server{{
			ID:       "a",
			Capacity: work.Size{CPU: 1000},
		}},
		Token: 1,
	})
	for s.Capacity().TotalCPU == 0 {
		time.Sleep(time.Millisecond)
	}
	return s
}

// TestReattach checks that a lent run survives a broken link and that the repeated call
// receives its result, and that the run is stopped when no call follows or the task is no
// longer wanted.
func TestReattach(t *testing.T) {
	tests := []struct {
		name  string
		again context.Context // of the repeated call; nil for none
		end   work.End
		stops int
	}{
		{
			name:  "the host comes back",
			again: t.Context(),
			end:   work.EndDone,
		},
		{
			name:  "the host comes back after it gave up the job",
			again: withdrawn(),
			end:   work.EndDone,
			stops: 1,
		},
		{
			name:  "nobody comes back",
			stops: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeServer{
				runTime: 500 * time.Millisecond,
				starts:  make(chan string, 10),
				stops:   make(chan string, 10),
			}
			s := newShard(f)
			task := work.Task{
				Job:  "j",
				Run:  1,
				Size: work.Size{CPU: 500},
			}
			ctx, cancel := context.WithCancel(t.Context())
			broken := make(chan pool.EndCmd)
			go func() { broken <- s.RunLent(ctx, "home", task, false) }()
			<-f.starts
			cancel()
			assert.Equal(t, (<-broken).End, work.EndUnknown)
			if test.again == nil {
				assert.Equal(t, <-f.stops, "j.0.0.0")
				return
			}
			assert.Equal(t, s.RunLent(test.again, "home", task, true).End, test.end)
			assert.Equal(t, len(f.starts), 0)
			assert.Equal(t, len(f.stops), test.stops)
		})
	}
}

// TestHaltOvertakes checks that a halt that arrives before the call that lends the task
// prevents the start, and that it doesn't affect a later resubmission.
func TestHaltOvertakes(t *testing.T) {
	f := &fakeServer{
		runTime: time.Millisecond,
		starts:  make(chan string, 10),
		stops:   make(chan string, 10),
	}
	s := newShard(f)
	task := work.Task{
		Job:  "j",
		Run:  1,
		Size: work.Size{CPU: 500},
	}
	s.halt("home", task.Name())
	assert.Equal(t, s.RunLent(t.Context(), "home", task, false).End, work.EndNotStarted)
	assert.Equal(t, len(f.starts), 0)
	for {
		s.mu.Lock()
		forgotten := len(s.earlyHalts) == 0
		s.mu.Unlock()
		if forgotten {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.RunLent(t.Context(), "home", task, false).End, work.EndDone)
}

// withdrawn returns the context of a call that the other host no longer waits for.
func withdrawn() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(peer.ErrWithdrawn)
	return ctx
}

// TestLentAgain checks that a repeated call is not started by a process that doesn't
// know the run, as the first call may have started it before a restart, and neither is one
// that was withdrawn.
func TestLentAgain(t *testing.T) {
	tests := []struct {
		name  string
		ctx   context.Context
		again bool
		end   work.End
	}{
		{
			name:  "repeated",
			ctx:   t.Context(),
			again: true,
			end:   work.EndUnknown,
		},
		{
			name: "withdrawn",
			ctx:  withdrawn(),
			end:  work.EndNotStarted,
		},
		{
			name:  "repeated and withdrawn",
			ctx:   withdrawn(),
			again: true,
			end:   work.EndUnknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeServer{
				starts: make(chan string, 10),
				stops:  make(chan string, 10),
			}
			s := newShard(f)
			end := s.RunLent(test.ctx, "home", work.Task{
				Job:  "j",
				Run:  1,
				Size: work.Size{CPU: 500},
			}, test.again)
			assert.Equal(t, end.End, test.end)
			assert.Equal(t, len(f.starts), 0)
		})
	}
}

// TestRefusedTaskNeverLentAgain checks that a lent task that had not been started can be lent
// to the same host again at once, and that a repeated call gets the first one's result.
func TestRefusedTaskNeverLentAgain(t *testing.T) {
	f := &fakeServer{
		starts: make(chan string, 10),
		stops:  make(chan string, 10),
	}
	s := newShard(f)
	task := work.Task{
		Job:  "j",
		Run:  1,
		Size: work.Size{CPU: 5000},
	}
	assert.Equal(t, s.RunLent(t.Context(), "home", task, false).End, work.EndNotStarted)
	assert.Equal(t, s.RunLent(t.Context(), "home", task, true).End, work.EndNotStarted)
	task.Size.CPU = 500
	assert.Equal(t, s.RunLent(t.Context(), "home", task, false).End, work.EndDone)
}

// lateServer answers that the first start was carried out too late, after this host was
// suspended.
type lateServer struct {
	fakeServer

	suspend func()
	late    bool
}

func (l *lateServer) Start(ctx context.Context, cmd pool.StartCmd) pool.StartedMsg {
	msg := l.fakeServer.Start(ctx, cmd)
	if !l.late {
		l.late = true
		l.suspend()
		msg.Result, msg.Clock = pool.DeadlinePassed, 2001
	}
	return msg
}

// TestLentTaskStartsAfterSuspension checks that a lent task is not started with a confirmation
// from before a suspension: the home has given the run up since.
func TestLentTaskStartsAfterSuspension(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		t.Run(fmt.Sprintf("ticked %t", ticked), func(t *testing.T) {
			f := &lateServer{fakeServer: fakeServer{
				runTime: time.Hour,
				starts:  make(chan string, 10),
				stops:   make(chan string, 10),
			}}
			limits := testPoolLimits()
			limits.Lease, limits.MaxUnconfirmed, limits.StopUnconfirmed = 720*time.Millisecond, 1200*time.Millisecond, 840*time.Millisecond
			limits.AnswerTimeout = 80 * time.Millisecond
			var suspended atomic.Int64
			s := newShardWith(Config{
				Servers: f,
				Pool:    limits,
				Stall:   500 * time.Millisecond,
				Now:     func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
			})
			f.suspend = func() {
				suspended.Store(int64(2 * time.Second))
				if ticked {
					s.advance()
				}
			}
			at := s.now()
			ctx := peer.WithConfirmation(t.Context(), func() (time.Time, bool) { return at, true })
			go s.RunLent(ctx, "home", work.Task{
				Job:  "j",
				Run:  1,
				Size: work.Size{CPU: 500},
			}, false)
			<-f.starts
			select {
			case <-f.starts:
				t.Fatal("started again with a confirmation from before the suspension")
			case <-time.After(300 * time.Millisecond):
			}
		})
	}
}

// lendFrame returns the frame by which a home lends the task of job j.
func lendFrame(home string, run int) wire.Frame {
	return wire.Frame{Lend: &wire.Lend{
		Job:     "j",
		Run:     run,
		Service: "s",
		Size:    wire.Size{Cpu: 500},
		Left:    int(time.Minute.Microseconds()),
		Home:    &home,
	}}
}

// TestLenderAcknowledgesThirdHome guards against a lender that lets a home start a job of
// which it runs a task for another one.
func TestLenderAcknowledgesThirdHome(t *testing.T) {
	network, starts, _ := newHomes(t, 0)
	lender := network.schedulers["b"]
	ended := make(chan struct{})
	go func() {
		lender.ServeLend(context.WithoutCancel(t.Context()), lendFrame("a", 1))
		close(ended)
	}()
	<-starts["b"]
	announce := func(home string) (refused, held []string) {
		answer, _ := lender.ServeOpen(t.Context(), wire.Frame{Open: &wire.Open{
			Service: "s",
			Host:    home,
			Jobs:    []string{"j"},
		}})
		return answer.Opened.Refused, answer.Opened.Held
	}
	refused, held := announce("c")
	assert.DeepEqual(t, refused, []string{"j"})
	assert.DeepEqual(t, held, []string{"j"})
	refused, _ = announce("a")
	assert.Equal(t, len(refused), 0)
	close(network.hold)
	<-ended
}

// TestThirdHomesOrder guards against a lender that lets a home run a task elsewhere which
// it runs for another one, or that leaves the latter without an answer.
func TestThirdHomesOrder(t *testing.T) {
	for _, run := range []int{1, 2} {
		t.Run(fmt.Sprintf("run %d", run), func(t *testing.T) {
			network, starts, _ := newHomes(t, 0)
			lender := network.schedulers["b"]
			first := make(chan wire.Frame, 1)
			lend := func(home string, run int, answers chan<- wire.Frame) {
				answer, _ := lender.ServeLend(context.WithoutCancel(t.Context()), lendFrame(home, run))
				answers <- answer
			}
			go lend("a", 1, first)
			<-starts["b"]
			second := make(chan wire.Frame, 1)
			go lend("c", run, second)
			select {
			case answer := <-second:
				assert.Equal(t, answer.Lent.End, string(work.EndUnknown))
				assert.Equal(t, answer.Lent.Reason, string(core.ReasonElsewhere))
			case <-time.After(time.Second):
				t.Error("the second home takes the first one's call over")
			}
			close(network.hold)
			select {
			case answer := <-first:
				assert.Equal(t, answer.Lent.End, string(work.EndDone))
			case <-time.After(time.Second):
				t.Error("no answer for the first home")
			}
			assert.Equal(t, len(starts["b"]), 0)
		})
	}
}

// TestLentRunUnknownToNewHome guards against a start at a home that has asked the others which
// jobs they know of, and wasn't told of a run for a home that it doesn't hear.
func TestLentRunUnknownToNewHome(t *testing.T) {
	network, starts, _ := newHomes(t, 0)
	ended := make(chan struct{})
	go func() {
		network.schedulers["b"].ServeLend(context.WithoutCancel(t.Context()), lendFrame("unheard", 1))
		close(ended)
	}()
	<-starts["b"]
	asking := network.schedulers["a"]
	assert.Assert(t, asking.askOnce(t.Context(), "s", "b"))
	outcomes := make(chan work.Outcome, 1)
	go func() {
		outcome, _ := asking.Do(t.Context(), announcedJob())
		outcomes <- outcome
	}()
	select {
	case outcome := <-outcomes:
		assert.Equal(t, outcome, work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonLink,
			Home:   "unheard",
		})
	case <-starts["a"]:
		t.Error("started beside the lent run")
	}
	close(network.hold)
	<-ended
}

// TestThirdHomesHalt guards against a home that stops a run which a lender has for another
// one, and against a halt that keeps the task from being lent by that one.
func TestThirdHomesHalt(t *testing.T) {
	tests := []struct {
		name   string
		home   string // that halts the task; "" for a host of an older version
		reason core.Reason
	}{
		{
			name: "by a third home",
			home: "third",
		},
		{
			name:   "by its home",
			home:   "home",
			reason: core.ReasonCanceled,
		},
		{
			name:   "by an unknown home",
			reason: core.ReasonCanceled,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeServer{
				starts: make(chan string, 10),
				stops:  make(chan string, 10),
				hold:   make(chan struct{}),
			}
			s := newShard(f)
			task := work.Task{
				Job:  "j",
				Run:  1,
				Size: work.Size{CPU: 500},
			}
			s.halt("third", task.Name())
			ended := make(chan pool.EndCmd, 1)
			go func() { ended <- s.RunLent(t.Context(), "home", task, false) }()
			select {
			case <-f.starts:
			case end := <-ended:
				t.Fatalf("not started: %s", end.End)
			}
			s.halt(test.home, task.Name())
			if test.reason != "" {
				assert.Equal(t, <-f.stops, task.Name())
			}
			close(f.hold)
			end := <-ended
			assert.Equal(t, end.End, work.EndDone)
			assert.Equal(t, end.Reason, test.reason)
		})
	}
}
