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
	Lease:    900 * time.Millisecond,
	Answer:   80 * time.Millisecond,
	Hedge:    25 * time.Millisecond,
	PollWait: 150 * time.Millisecond,
	Quick:    30 * time.Millisecond,
	Confirm:  400 * time.Millisecond,
	Retake:   time.Second,
	Slow:     3,
	Margin:   60 * time.Millisecond,
	Give:     500 * time.Millisecond,
	Probe:    200 * time.Millisecond,
	Health: health.Limits{
		Failures: 2,
		Backoff:  time.Second,
		Most:     4 * time.Second,
	},
	Pace:    0.3,
	PaceMax: 1.8,
}

// bench drives a pool by messages, on a clock of its own.
type bench struct {
	t     testing.TB
	model *Model
	start time.Time
	now   time.Time
	cmds  []Cmd
}

func newBench(t testing.TB, servers ...string) *bench {
	t.Helper()
	start := time.Unix(1000, 0)
	b := &bench{
		t:     t,
		model: New("home", limits),
		start: start,
		now:   start,
	}
	b.do(OwnMsg{
		Servers: entries(servers...),
		Token:   7,
	})
	for _, id := range servers {
		b.held(id)
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
			Guards:          true,
			StartedAtMillis: 1,
		})
	}
	return servers
}

func (b *bench) do(msg Msg) []Cmd {
	cmds := b.model.Update(b.now, msg)
	b.cmds = append(b.cmds, cmds...)
	return cmds
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// clock is the servers' clock; it starts at 1 ms with the bench.
func (b *bench) clock() int64 { return b.now.Sub(b.start).Milliseconds() + 1 }

// held answers the hold that is under way at a server.
func (b *bench) held(id string, change ...func(*HeldMsg)) []Cmd {
	s := b.model.servers[id]
	msg := HeldMsg{
		Server: id,
		Serial: s.serial,
		Sent:   b.now,
		Clock:  b.clock(),
		Born:   1,
	}
	for _, c := range change {
		c(&msg)
	}
	return b.do(msg)
}

func (b *bench) accepted(id, name string, run int) {
	b.do(StartedMsg{
		Server: id,
		Name:   name,
		Run:    run,
		Clock:  b.clock(),
	})
}

func taskOf(job string) work.Task {
	return work.Task{
		Job:    job,
		Run:    1,
		Size:   work.Size{CPU: 7000},
		Expect: 100 * time.Millisecond,
	}
}

func ends(cmds []Cmd) []EndCmd     { return pick.Of[EndCmd](cmds) }
func starts(cmds []Cmd) []StartCmd { return pick.Of[StartCmd](cmds) }
func holds(cmds []Cmd) []HoldCmd   { return pick.Of[HoldCmd](cmds) }
func stops(cmds []Cmd) []StopCmd   { return pick.Of[StopCmd](cmds) }

// TestTakeover: a new owner looks without extending any lease, stops what it
// doesn't know, and uses the server only when that is gone.
func TestTakeover(t *testing.T) {
	b := newBench(t)
	cmds := b.do(OwnMsg{
		Servers: entries("a"),
		Token:   7,
	})
	assert.Equal(t, len(holds(cmds)), 1)
	assert.Equal(t, holds(cmds)[0].Deadline, int64(0))
	cmds = b.held("a", func(m *HeldMsg) {
		m.Running = []Running{{
			Name: "old.0.0.0",
			Run:  3,
		}}
	})
	assert.Equal(t, len(stops(cmds)), 1)
	assert.Equal(t, stops(cmds)[0].Run, 3)
	assert.Equal(t, holds(cmds)[0].Deadline, int64(0))
	cmds = b.do(RunMsg{Task: taskOf("j")})
	assert.Equal(t, ends(cmds)[0].End, work.EndNever)
	b.held("a")
	cmds = b.do(RunMsg{Task: taskOf("j")})
	assert.Equal(t, len(starts(cmds)), 1)
}

// TestUnansweredStart: a start without an answer is sent again to the same
// server, and its end is only told when it is proved.
func TestUnansweredStart(t *testing.T) {
	lost := StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	}
	tests := []struct {
		name  string
		steps func(b *bench) []Cmd
		want  work.End
	}{
		{
			name: "the list shows it running",
			steps: func(b *bench) []Cmd {
				b.pass(time.Millisecond)
				return b.held("a", func(m *HeldMsg) {
					m.Running = []Running{{
						Name: "j.0.0.0",
						Run:  1,
					}}
				})
			},
		},
		{
			name: "a list without it proves nothing while the order may come",
			steps: func(b *bench) []Cmd {
				b.pass(time.Millisecond)
				return b.held("a")
			},
		},
		{
			name: "a list after the order's deadline proves that it never ran",
			steps: func(b *bench) []Cmd {
				b.pass(2 * time.Second)
				return b.held("a")
			},
			want: work.EndNever,
		},
		{
			name: "silence until every lease must have expired",
			steps: func(b *bench) []Cmd {
				b.pass(2 * time.Second)
				return b.do(TickMsg{})
			},
			want: work.EndLapsed,
		},
		{
			name: "silence for less",
			steps: func(b *bench) []Cmd {
				b.pass(700 * time.Millisecond)
				return b.do(TickMsg{})
			},
		},
		{
			name: "another incarnation answers",
			steps: func(b *bench) []Cmd {
				return b.held("a", func(m *HeldMsg) { m.Born = 2 })
			},
			want: work.EndLapsed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.do(RunMsg{Task: taskOf("j")})
			cmds := b.do(lost)
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

// TestFenced: a host whose server was taken gives it up at once, tells that
// the runs' ends can't be known, and doesn't fight for it.
func TestFenced(t *testing.T) {
	b := newBench(t, "a")
	b.do(RunMsg{Task: taskOf("j")})
	b.accepted("a", "j.0.0.0", 1)
	cmds := b.held("a", func(m *HeldMsg) { m.Result = Fenced })
	assert.Equal(t, ends(cmds)[0].End, work.EndUnknown)
	assert.Equal(t, len(b.model.Held()), 0)
	cmds = b.do(OwnMsg{Servers: entries("a")})
	assert.Equal(t, len(holds(cmds)), 0)
	b.pass(limits.Retake)
	cmds = b.do(OwnMsg{Servers: entries("a")})
	assert.Equal(t, len(holds(cmds)), 1)
	assert.Assert(t, holds(cmds)[0].Token > 7)
}

// TestFencedStart: a start that a server ignored because another host took it has
// never run, and may go elsewhere; one whose answer is still to come is judged by it.
func TestFencedStart(t *testing.T) {
	tests := []struct {
		name    string
		held    bool     // the look at the server is answered first
		results []Result // of the start, in turn
		want    work.End
	}{
		{
			name:    "ignored",
			results: []Result{Fenced},
			want:    work.EndNever,
		},
		{
			name:    "ignored, and the look too",
			held:    true,
			results: []Result{Fenced},
			want:    work.EndNever,
		},
		{
			name:    "carried out before the other host came",
			held:    true,
			results: []Result{Accepted},
			want:    work.EndUnknown,
		},
		{
			name:    "no answer",
			held:    true,
			results: []Result{Unanswered},
			want:    work.EndUnknown,
		},
		{
			name:    "never sent",
			held:    true,
			results: []Result{Unsent},
			want:    work.EndNever,
		},
		{
			name:    "sent twice, one without an answer",
			results: []Result{Unanswered, Fenced},
			want:    work.EndUnknown,
		},
		{
			name:    "sent twice, both ignored",
			results: []Result{Fenced, Fenced},
			want:    work.EndNever,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.do(RunMsg{Task: taskOf("j")})
			if len(test.results) > 1 {
				b.pass(limits.Hedge)
				b.do(TickMsg{})
			}
			b.cmds = nil
			if test.held {
				b.held("a", func(m *HeldMsg) { m.Result = Fenced })
				assert.Equal(t, len(ends(b.cmds)), 0)
				assert.Equal(t, len(b.model.Held()), 0)
			}
			for _, result := range test.results {
				b.do(StartedMsg{
					Server: "a",
					Name:   "j.0.0.0",
					Run:    1,
					Result: result,
				})
			}
			assert.Equal(t, len(ends(b.cmds)), 1)
			assert.Equal(t, ends(b.cmds)[0].End, test.want)
			assert.Equal(t, len(b.model.Held()), 0)
			assert.Equal(t, b.model.Pending(), 0)
			b.pass(limits.Retake)
			assert.Equal(t, len(holds(b.do(OwnMsg{Servers: entries("a")}))), 1)
		})
	}
}

// TestRelease: a server that another host is to hold is let go when it is
// empty, and takes no new work before.
func TestRelease(t *testing.T) {
	b := newBench(t, "a")
	b.do(RunMsg{Task: taskOf("j")})
	b.accepted("a", "j.0.0.0", 1)
	b.do(OwnMsg{})
	assert.DeepEqual(t, b.model.Held(), []string{"a"})
	cmds := b.do(RunMsg{Task: taskOf("k")})
	assert.Equal(t, ends(cmds)[0].End, work.EndNever)
	b.pass(time.Millisecond)
	cmds = b.held("a", func(m *HeldMsg) {
		m.Ended = []Ended{{
			Number: 1,
			Name:   "j.0.0.0",
			Run:    1,
			End:    work.EndDone,
		}}
	})
	assert.Equal(t, ends(cmds)[0].End, work.EndDone)
	assert.Equal(t, len(b.model.Held()), 0)
}

// TestRejected: each rejection of a start leads to what it proves.
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
			end:    work.EndNever,
		},
		{
			name:   "unhealthy",
			result: Busy,
			end:    work.EndNever,
		},
		{
			name:   "never sent",
			result: Unsent,
			end:    work.EndNever,
		},
		{
			name:   "too late",
			result: Late,
			starts: 1,
			run:    1,
		},
		{
			name:   "number used before",
			result: Old,
			starts: 1,
			run:    2,
		},
		{
			name:   "another server at the address",
			result: Replaced,
			end:    work.EndLapsed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.do(RunMsg{Task: taskOf("j")})
			cmds := b.do(StartedMsg{
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

// TestChoose: tasks go to the tightest fit, never to a server that leaves,
// fails or doesn't answer, and last to a slow one.
func TestChoose(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *bench)
		task   func(work.Task) work.Task
		want   string
	}{
		{
			name: "tightest fit",
			change: func(b *bench) {
				b.do(RunMsg{Task: taskOf("k")})
				assert.Equal(b.t, b.model.where["k.0.0.0"], "a")
			},
			want: "a",
		},
		{
			name:   "not a leaving one",
			change: func(b *bench) { b.model.servers["a"].entry.Draining = true },
			want:   "b",
		},
		{
			name:   "not a silent one",
			change: func(b *bench) { b.model.servers["a"].misses = 1 },
			want:   "b",
		},
		{
			name:   "a slow one last",
			change: func(b *bench) { b.model.servers["a"].pace = 2 },
			want:   "b",
		},
		{
			name: "with the label",
			change: func(b *bench) {
				b.model.servers["b"].entry.Labels = []string{"gold"}
			},
			task: func(t work.Task) work.Task {
				t.Requires = "gold"
				return t
			},
			want: "b",
		},
		{
			name: "near the data",
			change: func(b *bench) {
				b.model.servers["b"].entry.Labels = []string{"r1"}
			},
			task: func(t work.Task) work.Task {
				t.Affinity = "r1"
				return t
			},
			want: "b",
		},
		{
			name: "not beyond the most for one server",
			change: func(b *bench) {
				other := taskOf("j")
				other.Index = 1
				b.do(RunMsg{Task: other})
			},
			task: func(t work.Task) work.Task {
				t.PerServer = 1
				return t
			},
			want: "b",
		},
		{
			name: "nowhere when too large",
			task: func(t work.Task) work.Task {
				t.Size.CPU = 20000
				return t
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a", "b")
			if test.change != nil {
				test.change(b)
			}
			task := taskOf("j")
			if test.task != nil {
				task = test.task(task)
			}
			b.do(RunMsg{Task: task})
			assert.Equal(t, b.model.where["j.0.0.0"], test.want)
		})
	}
}

// TestStalledRun: a run that stands still is stopped so that it can start
// elsewhere; one that is only long is left alone.
func TestStalledRun(t *testing.T) {
	tests := []struct {
		name    string
		percent int
		other   bool // another run ended in its usual time meanwhile
		stops   int
	}{
		{
			name:    "slow",
			percent: 10,
			stops:   1,
		},
		{
			name:    "a long task, as the server is not slow",
			percent: 10,
			other:   true,
		},
		{
			name:    "stands still",
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
			b := newBench(t, "a")
			b.do(RunMsg{Task: taskOf("j")})
			b.accepted("a", "j.0.0.0", 1)
			if test.other {
				other := taskOf("k")
				other.Expect = 190 * time.Millisecond
				b.do(RunMsg{Task: other})
				b.accepted("a", "k.0.0.0", 1)
			}
			b.pass(200 * time.Millisecond)
			cmds := b.held("a", func(m *HeldMsg) {
				if test.other {
					m.Ended = []Ended{{
						Number: 1,
						Name:   "k.0.0.0",
						Run:    1,
						End:    work.EndDone,
					}}
				}
				m.Running = []Running{{
					Name:    "j.0.0.0",
					Run:     1,
					Percent: test.percent,
				}}
			})
			assert.Equal(t, len(stops(cmds)), test.stops)
			for _, note := range pick.Of[NoteCmd](cmds) {
				want := fmt.Sprintf("j.0.0.0 at %d %% after 200ms, predicted %s", test.percent, taskOf("j").Expect)
				assert.Equal(t, note.Detail, want)
			}
		})
	}
}

// TestFailingServer: a server that fails what it gets is left alone after two
// failures and probed with one task later.
func TestFailingServer(t *testing.T) {
	b := newBench(t, "a")
	for n := range 2 {
		b.pass(time.Millisecond)
		b.do(RunMsg{Task: taskOf("j")})
		b.accepted("a", "j.0.0.0", 1)
		b.pass(time.Millisecond)
		b.held("a", func(m *HeldMsg) {
			m.Ended = []Ended{{
				Number: n + 1,
				Name:   "j.0.0.0",
				Run:    1,
				End:    work.EndFailed,
			}}
		})
	}
	assert.Equal(t, len(starts(b.do(RunMsg{Task: taskOf("k")}))), 0)
	b.pass(limits.Health.Backoff)
	assert.Equal(t, len(starts(b.do(RunMsg{Task: taskOf("k")}))), 1)
	assert.Equal(t, len(starts(b.do(RunMsg{Task: taskOf("l")}))), 0)
}

// TestLeaseKept: while something runs, holds extend the lease by the server's
// own clock, and an idle server is left alone.
func TestLeaseKept(t *testing.T) {
	b := newBench(t, "a")
	assert.Equal(t, len(holds(b.do(TickMsg{}))), 0)
	b.do(RunMsg{Task: taskOf("j")})
	b.accepted("a", "j.0.0.0", 1)
	for range 20 {
		b.pass(limits.PollWait)
		cmds := b.held("a", func(m *HeldMsg) {
			m.Running = []Running{{
				Name:    "j.0.0.0",
				Run:     1,
				Percent: 90,
			}}
		})
		assert.Equal(t, len(holds(cmds)), 1)
		assert.Equal(t, holds(cmds)[0].Deadline, b.clock()+limits.Lease.Milliseconds())
	}
}

// TestForeignTakeover: a server of another failure domain is reached without a
// token first, and taken over only after its own hosts had time to be heard.
func TestForeignTakeover(t *testing.T) {
	foreign := entries("a")
	foreign[0].Domain = "away"
	b := newBench(t)
	cmds := b.do(OwnMsg{
		Servers: foreign,
		Token:   7,
	})
	assert.Equal(t, holds(cmds)[0].Token, int64(0))
	b.held("a", func(m *HeldMsg) { m.Result = Unanswered })
	assert.Equal(t, len(b.model.Held()), 0)
	b.pass(limits.Probe)
	assert.Equal(t, holds(b.do(TickMsg{}))[0].Token, int64(0))
	b.held("a", func(m *HeldMsg) { m.Result = Fenced })
	assert.Equal(t, len(holds(b.do(TickMsg{}))), 0)
	b.pass(limits.Confirm)
	assert.Equal(t, holds(b.do(TickMsg{}))[0].Token, int64(7))
}

// TestLongTask: a task that was moved once as slow, though it is long itself,
// runs to its end the next time.
func TestLongTask(t *testing.T) {
	b := newBench(t, "a", "b")
	b.do(RunMsg{Task: taskOf("j")})
	b.accepted("a", "j.0.0.0", 1)
	long := func(run, percent int) func(*HeldMsg) {
		return func(m *HeldMsg) {
			m.Running = []Running{{
				Name:    "j.0.0.0",
				Run:     run,
				Percent: percent,
			}}
		}
	}
	b.pass(200 * time.Millisecond)
	assert.Equal(t, len(stops(b.held("a", long(1, 20)))), 1)
	b.pass(time.Millisecond)
	cmds := b.held("a", func(m *HeldMsg) {
		m.Ended = []Ended{{
			Number: 1,
			Name:   "j.0.0.0",
			Run:    1,
			End:    work.EndStopped,
		}}
	})
	again := ends(cmds)[0].Task
	again.Run++
	b.do(RunMsg{Task: again})
	b.accepted("b", "j.0.0.0", 2)
	b.pass(700 * time.Millisecond)
	assert.Equal(t, len(stops(b.held("b", long(2, 70)))), 0)
}

// TestHedge: a start without an answer is sent once more beside the first, and
// whichever answer comes counts.
func TestHedge(t *testing.T) {
	b := newBench(t, "a")
	b.do(RunMsg{Task: taskOf("j")})
	assert.Equal(t, len(starts(b.do(TickMsg{}))), 0)
	b.pass(limits.Hedge)
	assert.Equal(t, len(starts(b.do(TickMsg{}))), 1)
	b.pass(limits.Hedge)
	assert.Equal(t, len(starts(b.do(TickMsg{}))), 0)
	b.accepted("a", "j.0.0.0", 1)
	cmds := b.do(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	assert.Equal(t, len(starts(cmds)), 0)
	assert.Equal(t, len(ends(cmds)), 0)
}

// TestAnswersLostEverywhere: one silent server gets no work; when answers get
// lost at all servers, a lost one says little of its server.
func TestAnswersLostEverywhere(t *testing.T) {
	b := newBench(t, "a")
	lose := func() {
		b.model.servers["a"].misses = 0
		b.do(RunMsg{Task: taskOf("j")})
		b.do(StartedMsg{
			Server: "a",
			Name:   "j.0.0.0",
			Run:    1,
			Result: Unanswered,
		})
	}
	lose()
	assert.Equal(t, b.model.Capacity(b.now).Total, 0)
	for range 10 {
		lose()
		b.model.heardOf(b.model.servers["a"], false)
	}
	b.model.servers["a"].misses = 1
	assert.Equal(t, b.model.Capacity(b.now).Total, 16000)
}

// TestHedgeAnswers: one answer to a start that was sent twice proves nothing
// about the other order, which may have been carried out.
func TestHedgeAnswers(t *testing.T) {
	tests := []struct {
		name   string
		first  Result
		second Result
		ends   []work.End
		runs   int // that are still counted on the server
		run    int // number of the run that is counted
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
			first:  Old,
			second: Accepted,
			runs:   1,
			run:    1,
		},
		{
			name:   "both unhealthy",
			first:  Busy,
			second: Busy,
			ends:   []work.End{work.EndNever},
		},
		{
			name:   "never sent, the other unhealthy",
			first:  Unsent,
			second: Busy,
			ends:   []work.End{work.EndNever},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.do(RunMsg{Task: taskOf("j")})
			b.pass(limits.Hedge)
			assert.Equal(t, len(starts(b.do(TickMsg{}))), 1)
			var got []work.End
			for _, result := range []Result{test.first, test.second} {
				for _, end := range ends(b.do(StartedMsg{
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

// TestHedgeAnswersWhileStopped: the same for a run whose stop was ordered.
func TestHedgeAnswersWhileStopped(t *testing.T) {
	b := newBench(t, "a")
	b.do(RunMsg{Task: taskOf("j")})
	b.pass(limits.Hedge)
	b.do(TickMsg{})
	b.do(StopMsg{Name: "j.0.0.0"})
	answer := func(result Result) []EndCmd {
		return ends(b.do(StartedMsg{
			Server: "a",
			Name:   "j.0.0.0",
			Run:    1,
			Result: result,
			Clock:  b.clock(),
		}))
	}
	assert.Equal(t, len(answer(Busy)), 0)
	assert.Equal(t, answer(Busy)[0].End, work.EndNever)
}
