package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
	"rosemarywalk/internal/pick"
)

var limits = Limits{
	Lease:         900 * time.Millisecond,
	AnswerTimeout: 80 * time.Millisecond,
	HedgeDelay:    25 * time.Millisecond,
	PollWait:      150 * time.Millisecond,
	ShortPollWait: 30 * time.Millisecond,
	TakeoverDelay: 400 * time.Millisecond,
	RetakeDelay:   time.Second,
	SlowFactor:    3,
	SlowMargin:    60 * time.Millisecond,
	StartTimeout:  500 * time.Millisecond,
	StopTimeout:   50 * time.Millisecond,
	ProbeInterval: 200 * time.Millisecond,
	Health: health.Limits{
		FailureThreshold: 2,
		InitialBackoff:   time.Second,
		MaxBackoff:       4 * time.Second,
	},
	SlowdownWeight: 0.3,
	MaxSlowdown:    1.8,
}

// harness drives a pool with messages on a simulated clock.
type harness struct {
	t     testing.TB
	model *Model
	start time.Time
	now   time.Time
	cmds  []Cmd
}

func newHarness(t testing.TB, servers ...string) *harness {
	t.Helper()
	return newHarnessWith(t, limits, servers...)
}

func newHarnessWith(t testing.TB, l Limits, servers ...string) *harness {
	t.Helper()
	start := time.Unix(1000, 0)
	b := &harness{
		t:     t,
		model: New("home", l),
		start: start,
		now:   start,
	}
	b.update(AssignMsg{
		Servers: entries(servers...),
		Token:   7,
	})
	for _, id := range servers {
		b.answerPoll(id)
	}
	b.cmds = nil
	return b
}

func entries(ids ...string) []listing.Server {
	servers := make([]listing.Server, 0, len(ids))
	for _, id := range ids {
		servers = append(servers, listing.Server{
			ID:      id,
			Address: id + ":1",
			Domain:  "home",
			Capacity: work.Size{
				CPU:    16000,
				Memory: 1000,
			},
			EnforcesCapacity: true,
			StartedAtMillis:  1,
		})
	}
	return servers
}

func (b *harness) update(msg Msg) []Cmd {
	cmds := b.model.Update(b.now, msg)
	b.cmds = append(b.cmds, cmds...)
	return cmds
}

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

// clock returns the clock of all servers, which starts at 1 ms.
func (b *harness) clock() int64 { return b.now.Sub(b.start).Milliseconds() + 1 }

// answerPoll answers the pending poll of a server.
func (b *harness) answerPoll(id string, change ...func(*PollResultMsg)) []Cmd {
	s := b.model.servers[id]
	msg := PollResultMsg{
		Server: id,
		Serial: s.pollSerial,
		Sent:   b.now,
		Clock:  b.clock(),
		Born:   1,
	}
	for _, c := range change {
		c(&msg)
	}
	return b.update(msg)
}

func (b *harness) acceptStart(id, name string, run int) {
	b.update(StartedMsg{
		Server: id,
		Name:   name,
		Run:    run,
		Clock:  b.clock(),
	})
}

func taskOf(job string) work.Task {
	return work.Task{
		Job:           job,
		Run:           1,
		Size:          work.Size{CPU: 7000},
		PredictedTime: 100 * time.Millisecond,
	}
}

func ends(cmds []Cmd) []EndCmd     { return pick.OfType[EndCmd](cmds) }
func starts(cmds []Cmd) []StartCmd { return pick.OfType[StartCmd](cmds) }
func polls(cmds []Cmd) []PollCmd   { return pick.OfType[PollCmd](cmds) }
func stops(cmds []Cmd) []StopCmd   { return pick.OfType[StopCmd](cmds) }

// TestTakeover checks that a new owner does not extend any lease while it
// inspects a server, stops runs it does not know, and places tasks only once they
// are gone.
func TestTakeover(t *testing.T) {
	b := newHarness(t)
	cmds := b.update(AssignMsg{
		Servers: entries("a"),
		Token:   7,
	})
	assert.Equal(t, len(polls(cmds)), 1)
	assert.Equal(t, polls(cmds)[0].Deadline, int64(0))
	cmds = b.answerPoll("a", func(m *PollResultMsg) {
		m.Running = []ListedRun{{
			Name: "old.0.0.0",
			Run:  3,
		}}
	})
	assert.Equal(t, len(stops(cmds)), 1)
	assert.Equal(t, stops(cmds)[0].Run, 3)
	assert.Equal(t, polls(cmds)[0].Deadline, int64(0))
	cmds = b.update(RunMsg{Task: taskOf("j")})
	assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
	b.answerPoll("a", func(m *PollResultMsg) {
		m.Ended = []ListedEnd{{
			Number: 1,
			Name:   "old.0.0.0",
			Run:    3,
			End:    work.EndStopped,
		}}
	})
	cmds = b.update(RunMsg{Task: taskOf("j")})
	assert.Equal(t, len(starts(cmds)), 1)
}

// TestUnansweredStart checks that an unanswered start is repeated at the same
// server, and that the end of the run is reported only when it is proved.
func TestUnansweredStart(t *testing.T) {
	lost := StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	}
	tests := []struct {
		name  string
		steps func(b *harness) []Cmd
		want  work.End
	}{
		{
			name: "listed as running",
			steps: func(b *harness) []Cmd {
				b.advance(time.Millisecond)
				return b.answerPoll("a", func(m *PollResultMsg) {
					m.Running = []ListedRun{{
						Name: "j.0.0.0",
						Run:  1,
					}}
				})
			},
		},
		{
			name: "missing in the list before the deadline of the order",
			steps: func(b *harness) []Cmd {
				b.advance(time.Millisecond)
				return b.answerPoll("a")
			},
		},
		{
			name: "missing in the list after the deadline of the order",
			steps: func(b *harness) []Cmd {
				b.advance(2 * time.Second)
				assert.Equal(b.t, len(ends(b.answerPoll("a"))), 0)
				return b.answerPoll("a")
			},
			want: work.EndNotStarted,
		},
		{
			name: "no answer until every lease must have expired",
			steps: func(b *harness) []Cmd {
				b.advance(2 * time.Second)
				return b.update(TickMsg{})
			},
			want: work.EndLeaseExpired,
		},
		{
			name: "no answer, lease not yet expired",
			steps: func(b *harness) []Cmd {
				b.advance(700 * time.Millisecond)
				return b.update(TickMsg{})
			},
		},
		{
			name: "another incarnation answers",
			steps: func(b *harness) []Cmd {
				b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 })
				assert.Equal(b.t, len(ends(b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 }))), 0)
				assert.Equal(b.t, len(ends(b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 }))), 0)
				return b.answerPoll("a", func(m *PollResultMsg) { m.Born = 2 })
			},
			want: work.EndLeaseExpired,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			cmds := b.update(lost)
			assert.Equal(t, len(starts(cmds)), 1)
			assert.Equal(t, starts(cmds)[0].Task.Run, 1)
			cmds = test.steps(b)
			if test.want == "" {
				assert.Equal(t, len(ends(cmds)), 0)
				return
			}
			assert.Equal(t, ends(cmds)[0].End, test.want)
		})
	}
}

// TestFenced checks that a host drops a server that another host took over,
// reports its runs as unknown, and does not take it back before the retake delay.
func TestFenced(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.acceptStart("a", "j.0.0.0", 1)
	cmds := b.answerPoll("a", func(m *PollResultMsg) { m.Result = Fenced })
	assert.Equal(t, ends(cmds)[0].End, work.EndUnknown)
	assert.Equal(t, len(b.model.OwnedServers()), 0)
	cmds = b.update(AssignMsg{Servers: entries("a")})
	assert.Equal(t, len(polls(cmds)), 0)
	b.advance(limits.RetakeDelay)
	cmds = b.update(AssignMsg{Servers: entries("a")})
	assert.Equal(t, len(polls(cmds)), 1)
	assert.Assert(t, polls(cmds)[0].Token > 7)
}

// TestFencedStart checks that a start which a server rejected because another
// host took it over counts as never run, so that the task can start elsewhere. A
// start that is still unanswered is decided by its answer.
func TestFencedStart(t *testing.T) {
	tests := []struct {
		name      string
		pollFirst bool     // the poll is answered before the start
		results   []Result // answers to the start orders, in sequence
		want      work.End
	}{
		{
			name:    "ignored",
			results: []Result{Fenced},
			want:    work.EndNotStarted,
		},
		{
			name:      "start and hold request rejected",
			pollFirst: true,
			results:   []Result{Fenced},
			want:      work.EndNotStarted,
		},
		{
			name:      "started before the other host took over",
			pollFirst: true,
			results:   []Result{Accepted},
			want:      work.EndUnknown,
		},
		{
			name:      "no answer",
			pollFirst: true,
			results:   []Result{Unanswered},
			want:      work.EndUnknown,
		},
		{
			name:      "never sent",
			pollFirst: true,
			results:   []Result{NotSent},
			want:      work.EndNotStarted,
		},
		{
			name:    "sent twice, one unanswered",
			results: []Result{Unanswered, Fenced},
			want:    work.EndUnknown,
		},
		{
			name:    "sent twice, both rejected",
			results: []Result{Fenced, Fenced},
			want:    work.EndNotStarted,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			if len(test.results) > 1 {
				b.advance(limits.HedgeDelay)
				b.update(TickMsg{})
			}
			b.cmds = nil
			if test.pollFirst {
				b.answerPoll("a", func(m *PollResultMsg) { m.Result = Fenced })
				assert.Equal(t, len(ends(b.cmds)), 0)
				assert.Equal(t, len(b.model.OwnedServers()), 0)
			}
			for _, result := range test.results {
				b.update(StartedMsg{
					Server: "a",
					Name:   "j.0.0.0",
					Run:    1,
					Result: result,
				})
			}
			assert.Equal(t, len(ends(b.cmds)), 1)
			assert.Equal(t, ends(b.cmds)[0].End, test.want)
			assert.Equal(t, len(b.model.OwnedServers()), 0)
			assert.Equal(t, b.model.Pending(), 0)
			b.advance(limits.RetakeDelay)
			assert.Equal(t, len(polls(b.update(AssignMsg{Servers: entries("a")}))), 1)
		})
	}
}

// TestRelease checks that a server assigned to another host gets no new tasks and
// is released once it is empty.
func TestRelease(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.acceptStart("a", "j.0.0.0", 1)
	b.update(AssignMsg{})
	assert.DeepEqual(t, b.model.OwnedServers(), []string{"a"})
	cmds := b.update(RunMsg{Task: taskOf("k")})
	assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
	b.advance(time.Millisecond)
	cmds = b.answerPoll("a", func(m *PollResultMsg) {
		m.Ended = []ListedEnd{{
			Number: 1,
			Name:   "j.0.0.0",
			Run:    1,
			End:    work.EndDone,
		}}
	})
	assert.Equal(t, ends(cmds)[0].End, work.EndDone)
	assert.Equal(t, len(b.model.OwnedServers()), 0)
}

// TestRejected checks the reaction to each result that rejects a start.
func TestRejected(t *testing.T) {
	tests := []struct {
		name   string
		result Result
		end    work.End
		starts int
		run    int
	}{
		{
			name:   "no room",
			result: Full,
			end:    work.EndNotStarted,
		},
		{
			name:   "unhealthy",
			result: Busy,
			end:    work.EndNotStarted,
		},
		{
			name:   "never sent",
			result: NotSent,
			end:    work.EndNotStarted,
		},
		{
			name:   "too late",
			result: DeadlinePassed,
			starts: 1,
			run:    1,
		},
		{
			name:   "run number used before",
			result: StaleRun,
			starts: 1,
			run:    2,
		},
		{
			name:   "another server at the address",
			result: Replaced,
			end:    work.EndNotStarted,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			cmds := b.update(StartedMsg{
				Server: "a",
				Name:   "j.0.0.0",
				Run:    1,
				Result: test.result,
				Clock:  b.clock(),
			})
			assert.Equal(t, len(starts(cmds)), test.starts)
			if test.starts > 0 {
				assert.Equal(t, starts(cmds)[0].Task.Run, test.run)
				return
			}
			assert.Equal(t, ends(cmds)[0].End, test.end)
		})
	}
}

// TestChoose checks that tasks go to the tightest fit, to slow servers last, and
// never to a server that is draining, fails or does not answer.
func TestChoose(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *harness)
		task   func(work.Task) work.Task
		want   string
	}{
		{
			name: "tightest fit",
			change: func(b *harness) {
				b.update(RunMsg{Task: taskOf("k")})
				assert.Equal(b.t, b.model.serverByTask["k.0.0.0"], "a")
			},
			want: "a",
		},
		{
			name:   "draining server excluded",
			change: func(b *harness) { b.model.servers["a"].entry.Draining = true },
			want:   "b",
		},
		{
			name:   "server with an unanswered call excluded",
			change: func(b *harness) { b.model.servers["a"].misses = 1 },
			want:   "b",
		},
		{
			name:   "slow server last",
			change: func(b *harness) { b.model.servers["a"].slowdown = 2 },
			want:   "b",
		},
		{
			name: "with the label",
			change: func(b *harness) {
				b.model.servers["b"].entry.Labels = []string{"gold"}
			},
			task: func(t work.Task) work.Task {
				t.Requires = "gold"
				return t
			},
			want: "b",
		},
		{
			name: "close to the data",
			change: func(b *harness) {
				b.model.servers["b"].entry.Labels = []string{"r1"}
			},
			task: func(t work.Task) work.Task {
				t.Affinity = "r1"
				return t
			},
			want: "b",
		},
		{
			name: "limit per server reached",
			change: func(b *harness) {
				other := taskOf("j")
				other.Index = 1
				b.update(RunMsg{Task: other})
			},
			task: func(t work.Task) work.Task {
				t.MaxPerServer = 1
				return t
			},
			want: "b",
		},
		{
			name: "too large for any server",
			task: func(t work.Task) work.Task {
				t.Size.CPU = 20000
				return t
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a", "b")
			if test.change != nil {
				test.change(b)
			}
			task := taskOf("j")
			if test.task != nil {
				task = test.task(task)
			}
			b.update(RunMsg{Task: task})
			assert.Equal(t, b.model.serverByTask["j.0.0.0"], test.want)
		})
	}
}

// TestStalledRun checks that a run without progress is stopped so that it can
// start elsewhere, and that a run of a long task continues.
func TestStalledRun(t *testing.T) {
	tests := []struct {
		name    string
		percent int
		other   bool // another run ended at normal speed in the meantime
		stops   int
	}{
		{
			name:    "slow",
			percent: 10,
			stops:   1,
		},
		{
			name:    "long task on a server of normal speed",
			percent: 10,
			other:   true,
		},
		{
			name:    "no progress",
			percent: 0,
			stops:   1,
		},
		{
			name:    "nearly done",
			percent: 80,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			b.acceptStart("a", "j.0.0.0", 1)
			if test.other {
				other := taskOf("k")
				other.PredictedTime = 190 * time.Millisecond
				b.update(RunMsg{Task: other})
				b.acceptStart("a", "k.0.0.0", 1)
			}
			b.advance(200 * time.Millisecond)
			cmds := b.answerPoll("a", func(m *PollResultMsg) {
				if test.other {
					m.Ended = []ListedEnd{{
						Number: 1,
						Name:   "k.0.0.0",
						Run:    1,
						End:    work.EndDone,
					}}
				}
				m.Running = []ListedRun{{
					Name:    "j.0.0.0",
					Run:     1,
					Percent: test.percent,
				}}
			})
			assert.Equal(t, len(stops(cmds)), test.stops)
			for _, note := range pick.OfType[LogCmd](cmds) {
				want := fmt.Sprintf("j.0.0.0 at %d %% after 200ms, predicted %s", test.percent, taskOf("j").PredictedTime)
				assert.Equal(t, note.Detail, want)
			}
		})
	}
}

// TestFailingServer checks that a server is ejected after two failures in a row
// and probed with a single task after the backoff.
func TestFailingServer(t *testing.T) {
	b := newHarness(t, "a")
	for n := range 2 {
		b.advance(time.Millisecond)
		b.update(RunMsg{Task: taskOf("j")})
		b.acceptStart("a", "j.0.0.0", 1)
		b.advance(time.Millisecond)
		b.answerPoll("a", func(m *PollResultMsg) {
			m.Ended = []ListedEnd{{
				Number: n + 1,
				Name:   "j.0.0.0",
				Run:    1,
				End:    work.EndFailed,
			}}
		})
	}
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("k")}))), 0)
	b.advance(limits.Health.InitialBackoff)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("k")}))), 1)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("l")}))), 0)
}

// TestLeaseExtended checks that polls extend the lease on the server's clock
// while a task runs, and that an idle server gets none.
func TestLeaseExtended(t *testing.T) {
	b := newHarness(t, "a")
	assert.Equal(t, len(polls(b.update(TickMsg{}))), 0)
	b.update(RunMsg{Task: taskOf("j")})
	b.acceptStart("a", "j.0.0.0", 1)
	for range 20 {
		b.advance(limits.PollWait)
		cmds := b.answerPoll("a", func(m *PollResultMsg) {
			m.Running = []ListedRun{{
				Name:    "j.0.0.0",
				Run:     1,
				Percent: 90,
			}}
		})
		assert.Equal(t, len(polls(cmds)), 1)
		assert.Equal(t, polls(cmds)[0].Deadline, b.clock()+limits.Lease.Milliseconds())
	}
}

// TestForeignTakeover checks that a server of another failure domain is first
// probed without a token, and taken over only after the confirmation delay.
func TestForeignTakeover(t *testing.T) {
	foreign := entries("a")
	foreign[0].Domain = "away"
	b := newHarness(t)
	cmds := b.update(AssignMsg{
		Servers: foreign,
		Token:   7,
	})
	assert.Equal(t, polls(cmds)[0].Token, int64(0))
	b.answerPoll("a", func(m *PollResultMsg) { m.Result = Unanswered })
	assert.Equal(t, len(b.model.OwnedServers()), 0)
	b.advance(limits.ProbeInterval)
	assert.Equal(t, polls(b.update(TickMsg{}))[0].Token, int64(0))
	b.answerPoll("a", func(m *PollResultMsg) { m.Result = Fenced })
	assert.Equal(t, len(polls(b.update(TickMsg{}))), 0)
	b.advance(limits.TakeoverDelay)
	assert.Equal(t, polls(b.update(TickMsg{}))[0].Token, int64(7))
}

// TestLongTask checks that a long task which was stopped once as slow is not
// stopped again on the next server.
func TestLongTask(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.update(RunMsg{Task: taskOf("j")})
	b.acceptStart("a", "j.0.0.0", 1)
	long := func(run, percent int) func(*PollResultMsg) {
		return func(m *PollResultMsg) {
			m.Running = []ListedRun{{
				Name:    "j.0.0.0",
				Run:     run,
				Percent: percent,
			}}
		}
	}
	b.advance(200 * time.Millisecond)
	assert.Equal(t, len(stops(b.answerPoll("a", long(1, 20)))), 1)
	b.advance(time.Millisecond)
	cmds := b.answerPoll("a", func(m *PollResultMsg) {
		m.Ended = []ListedEnd{{
			Number: 1,
			Name:   "j.0.0.0",
			Run:    1,
			End:    work.EndStopped,
		}}
	})
	again := ends(cmds)[0].Task
	again.Run++
	b.update(RunMsg{Task: again})
	b.acceptStart("b", "j.0.0.0", 2)
	b.advance(700 * time.Millisecond)
	assert.Equal(t, len(stops(b.answerPoll("b", long(2, 70)))), 0)
}

// TestHedge checks that an unanswered start is sent once more in parallel, and
// that the first acceptance counts.
func TestHedge(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	assert.Equal(t, len(starts(b.update(TickMsg{}))), 0)
	b.advance(limits.HedgeDelay)
	assert.Equal(t, len(starts(b.update(TickMsg{}))), 1)
	b.advance(limits.HedgeDelay)
	assert.Equal(t, len(starts(b.update(TickMsg{}))), 0)
	b.acceptStart("a", "j.0.0.0", 1)
	cmds := b.update(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	assert.Equal(t, len(starts(cmds)), 0)
	assert.Equal(t, len(ends(cmds)), 0)
}

// TestHighLossRate checks that a server with a lost answer gets no
// tasks, unless the answers of many calls are lost: then a lost answer says
// little about its server.
func TestHighLossRate(t *testing.T) {
	b := newHarness(t, "a")
	lose := func() {
		b.model.servers["a"].misses = 0
		b.update(RunMsg{Task: taskOf("j")})
		b.update(StartedMsg{
			Server: "a",
			Name:   "j.0.0.0",
			Run:    1,
			Result: Unanswered,
		})
	}
	lose()
	assert.Equal(t, b.model.Capacity(b.now).TotalCPU, 0)
	for range 10 {
		lose()
		b.model.recordCall(b.model.servers["a"], false)
	}
	b.model.servers["a"].misses = 1
	assert.Equal(t, b.model.Capacity(b.now).TotalCPU, 16000)
}

// TestHedgeAnswers checks that the answer to one of two parallel starts decides
// nothing about the other, which may have been carried out.
func TestHedgeAnswers(t *testing.T) {
	tests := []struct {
		name   string
		first  Result
		second Result
		ends   []work.End
		runs   int // runs still counted on the server
		run    int // number of the counted run
	}{
		{
			name:   "one unhealthy, the other accepted",
			first:  Busy,
			second: Accepted,
			runs:   1,
			run:    1,
		},
		{
			name:   "one without room, the other accepted",
			first:  Full,
			second: Accepted,
			runs:   1,
			run:    1,
		},
		{
			name:   "one unhealthy, the other unanswered",
			first:  Busy,
			second: Unanswered,
			runs:   1,
			run:    1,
		},
		{
			name:   "one too old, the other accepted",
			first:  StaleRun,
			second: Accepted,
			runs:   1,
			run:    1,
		},
		{
			name:   "both unhealthy",
			first:  Busy,
			second: Busy,
			ends:   []work.End{work.EndNotStarted},
		},
		{
			name:   "never sent, the other unhealthy",
			first:  NotSent,
			second: Busy,
			ends:   []work.End{work.EndNotStarted},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a")
			b.update(RunMsg{Task: taskOf("j")})
			b.advance(limits.HedgeDelay)
			assert.Equal(t, len(starts(b.update(TickMsg{}))), 1)
			var got []work.End
			for _, result := range []Result{test.first, test.second} {
				for _, end := range ends(b.update(StartedMsg{
					Server: "a",
					Name:   "j.0.0.0",
					Run:    1,
					Result: result,
					Clock:  b.clock(),
				})) {
					got = append(got, end.End)
				}
			}
			assert.DeepEqual(t, got, test.ends)
			assert.Equal(t, len(b.model.servers["a"].runs), test.runs)
			if test.runs > 0 {
				assert.Equal(t, b.model.servers["a"].runs["j.0.0.0"].task.Run, test.run)
			}
		})
	}
}

// TestHedgeAnswersWhileStopped checks the same for a run that is being stopped.
func TestHedgeAnswersWhileStopped(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.advance(limits.HedgeDelay)
	b.update(TickMsg{})
	b.update(StopMsg{Name: "j.0.0.0"})
	answer := func(result Result) []EndCmd {
		return ends(b.update(StartedMsg{
			Server: "a",
			Name:   "j.0.0.0",
			Run:    1,
			Result: result,
			Clock:  b.clock(),
		}))
	}
	assert.Equal(t, len(answer(Busy)), 0)
	assert.Equal(t, answer(Busy)[0].End, work.EndNotStarted)
}

// TestListsBeforeStopRunTwice guards against a run that counts as never started because of
// lists that the server made before it carried out the stop: a late start can come between
// the two, and the stop takes a time.
func TestListsBeforeStopRunTwice(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.update(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	b.update(StopMsg{Name: "j.0.0.0"})
	b.advance(time.Millisecond)
	sent := b.now
	b.advance(time.Millisecond)
	b.update(StoppedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Clock:  b.clock(),
	})
	cmds := b.answerPoll("a", func(m *PollResultMsg) { m.Sent = sent })
	assert.Equal(t, len(ends(cmds)), 0)
	b.advance(stopMargin*limits.StopTimeout + time.Millisecond)
	cmds = b.answerPoll("a")
	assert.Equal(t, len(ends(cmds)), 1)
	assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
}
