package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// TestRestartedServerRunsTwice guards against tasks that are started elsewhere while a new
// process of their server runs them, which carried out an order to its predecessor.
func TestRestartedServerRunsTwice(t *testing.T) {
	tests := []struct {
		name       string
		conditions conditions
	}{
		{
			name: "calm network",
			conditions: conditions{
				Network: Network{Delay: 3 * time.Millisecond},
				Hosts:   1,
			},
		},
		{
			name: "servers down for a time",
			conditions: conditions{
				Network: Network{Delay: 10 * time.Millisecond},
				Hosts:   1,
				Down:    2 * time.Second,
			},
		},
		{
			name: "answers lost",
			conditions: conditions{
				Network: Network{
					Delay: 10 * time.Millisecond,
					Loss:  0.3,
				},
				Hosts: 1,
				Down:  time.Second,
			},
		},
		{
			name: "orders late",
			conditions: conditions{
				Network: Network{
					Delay:    10 * time.Millisecond,
					Loss:     0.3,
					LateLoss: 0.9,
					Lateness: 12 * time.Second,
				},
				Hosts: 1,
				Down:  300 * time.Millisecond,
			},
		},
		{
			name: "owners take over from one another",
			conditions: conditions{
				Network: Network{
					Delay:    10 * time.Millisecond,
					Loss:     0.1,
					LateLoss: 0.9,
					Lateness: 12 * time.Second,
				},
				Hosts:    3,
				Handover: time.Second,
				Stall:    300 * time.Millisecond,
				Down:     300 * time.Millisecond,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			done, twice := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				c := test.conditions
				c.Limits = lifetimeLimits(700 * time.Millisecond)
				c.Limits.MaxUnconfirmed, c.Limits.StopUnconfirmed = 0, 0
				c.Rate = rapid.Float64Range(minClockRate, 1).Draw(t, "rate")
				c.Jobs = 50
				c.JobInterval = 60 * time.Millisecond
				c.Work = 500 * time.Millisecond
				c.Restart = 2 * time.Second
				c.Listing = 2500 * time.Millisecond
				sim := newSimulation(rapid.Uint64().Draw(t, "seed"), c)
				sim.run()
				done += sim.ends[work.EndDone]
				twice += len(sim.Twice)
			})
			t.Logf("%d done, %d twice", done, twice)
			assert.Equal(t, twice, 0)
		})
	}
}

// restartedAt answers a poll as a new process whose clock reads the given time.
func restartedAt(clock int64, running ...ListedRun) func(*PollResultMsg) {
	return func(m *PollResultMsg) { m.Born, m.Clock, m.Running = 2, clock, running }
}

// TestStartAtNewProcess guards against a run that counts as lapsed, and is started elsewhere,
// because its server had started again before it accepted the start.
func TestStartAtNewProcess(t *testing.T) {
	running := ListedRun{
		Name: "j.0.0.0",
		Run:  1,
	}
	tests := []struct {
		name  string
		clock int64 // of the new process when it answers
		steps func(b *harness, answer StartedMsg)
		want  work.End
	}{
		{
			name:  "answers the start, clock anew",
			clock: 30,
			steps: func(b *harness, answer StartedMsg) {
				b.update(answer)
				b.answerPoll("a", restartedAt(35, running))
				b.answerPoll("a", restartedAt(40, running))
			},
		},
		{
			name:  "answers the start, clock ahead",
			clock: 900000,
			steps: func(b *harness, answer StartedMsg) {
				b.update(answer)
				b.answerPoll("a", restartedAt(900005, running))
				b.answerPoll("a", restartedAt(900010, running))
			},
		},
		{
			name:  "answers a poll before the start",
			clock: 30,
			steps: func(b *harness, answer StartedMsg) {
				b.answerPoll("a", restartedAt(20))
				b.update(answer)
				b.answerPoll("a", restartedAt(40, running))
			},
		},
		{
			name:  "answers no start, lists the run",
			clock: 30,
			steps: func(b *harness, answer StartedMsg) {
				answer.Result = Unanswered
				b.update(answer)
				b.answerPoll("a", restartedAt(20, running))
				b.answerPoll("a", restartedAt(40, running))
			},
		},
		{
			name:  "rejects the start, as a poll with a higher token came first",
			clock: 30,
			steps: func(b *harness, answer StartedMsg) {
				b.answerPoll("a", restartedAt(20))
				answer.Result = Fenced
				b.update(answer)
				b.answerPoll("a", restartedAt(40))
				b.answerPoll("a", restartedAt(50))
				assert.Equal(b.t, len(ends(b.cmds)), 0)
				b.answerPoll("a", restartedAt(60))
			},
			want: work.EndLeaseExpired,
		},
		{
			name:  "has ended the run",
			clock: 30,
			steps: func(b *harness, answer StartedMsg) {
				b.update(answer)
				ended := func(m *PollResultMsg) {
					m.Ended = []ListedEnd{{
						Number: 1,
						Name:   "j.0.0.0",
						Run:    1,
						End:    work.EndDone,
					}}
				}
				b.answerPoll("a", restartedAt(30), ended)
				b.answerPoll("a", restartedAt(40), ended)
			},
			want: work.EndDone,
		},
		{
			name:  "doesn't have the run",
			clock: 30,
			steps: func(b *harness, answer StartedMsg) {
				answer.Result = Unanswered
				b.update(answer)
				b.answerPoll("a", restartedAt(20))
				b.answerPoll("a", restartedAt(40))
				b.answerPoll("a", restartedAt(50))
				assert.Equal(b.t, len(ends(b.cmds)), 0)
				b.answerPoll("a", restartedAt(60))
			},
			want: work.EndLeaseExpired,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := lifetimeHarness(t, "a")
			token := b.model.servers["a"].token
			order := starts(b.update(RunMsg{Task: b.confirmedTask("j", 0)}))[0]
			b.advance(10 * time.Millisecond)
			test.steps(b, StartedMsg{
				Server: "a",
				Name:   "j.0.0.0",
				Run:    1,
				Sent:   order.Sent,
				Clock:  test.clock,
			})
			s := b.model.servers["a"]
			assert.Equal(t, s.phase, ready)
			assert.Assert(t, s.token > token)
			assert.Equal(t, len(stops(b.cmds)), 0)
			if test.want == "" {
				assert.Equal(t, len(ends(b.cmds)), 0)
				assert.Equal(t, len(s.runs), 1)
				assert.Assert(t, s.maxDeadline <= test.clock+10+maxLease.Milliseconds())
				return
			}
			assert.Equal(t, len(s.runs), 0)
			assert.Equal(t, ends(b.cmds)[0].End, test.want)
		})
	}
}

// TestRestartOfIdleServer checks that a restart of a server without runs that an entry shows
// costs two polls: one whose answer confirms it, and one under a higher token.
func TestRestartOfIdleServer(t *testing.T) {
	b := newHarness(t, "a")
	servers := entries("a")
	servers[0].StartedAtMillis = 2
	cmds := b.update(AssignMsg{
		Servers: servers,
		Token:   7,
	})
	assert.Equal(t, len(polls(cmds)), 1)
	cmds = b.answerPoll("a", restartedAt(4))
	assert.Equal(t, len(polls(cmds)), 1)
	assert.Assert(t, polls(cmds)[0].Token > 7)
	cmds = b.answerPoll("a", restartedAt(5))
	assert.Equal(t, len(polls(cmds)), 0)
	assert.Equal(t, b.model.servers["a"].phase, ready)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("j")}))), 1)
}

// TestClockOfSameProcess checks that no answer of the same process counts as that of another,
// whatever the delays and the rate of the clock.
func TestClockOfSameProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(minClockRate, 1).Draw(t, "rate")
		offset := rapid.Int64Range(0, 10_000_000).Draw(t, "offset")
		delay := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		start := time.Unix(1000, 0)
		clock := func(at time.Time) int64 { return offset + int64(rate*float64(at.Sub(start).Milliseconds())) }
		s := newServer(entries("a")[0], 7, limits)
		for range 5 {
			sent := start.Add(delay("sent"))
			read := sent.Add(delay("there"))
			now := read.Add(delay("back"))
			if !s.clockAt.IsZero() && now.Before(s.clockAt) {
				now = s.clockAt
			}
			assert.Assert(t, !s.clockUnexpected(now, sent, clock(read)))
			s.updateClock(now, sent, clock(read), maxLease)
		}
	})
}

// TestOrphanRunsTwice guards against a task that is started while another server lists an
// unknown run of it, which an earlier owner had ordered or which was carried out late.
func TestOrphanRunsTwice(t *testing.T) {
	tests := []struct {
		name  string
		steps func(b *harness)
		want  int // starts of the task
	}{
		{
			name:  "still listed",
			steps: func(*harness) {},
		},
		{
			name: "has ended",
			steps: func(b *harness) {
				b.answerPoll("a", func(m *PollResultMsg) {
					m.Ended = []ListedEnd{{
						Number: 1,
						Name:   "j.0.0.0",
						Run:    4,
						End:    work.EndStopped,
					}}
				})
			},
			want: 1,
		},
		{
			name:  "server silent, lease not yet expired",
			steps: func(b *harness) { b.advance(900 * time.Millisecond) },
		},
		{
			name:  "server silent until the lease must have expired",
			steps: func(b *harness) { b.advance(1100 * time.Millisecond) },
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "b")
			b.update(AssignMsg{
				Servers: entries("a", "b"),
				Token:   7,
			})
			b.answerPoll("a", func(m *PollResultMsg) {
				m.Running = []ListedRun{{
					Name: "j.0.0.0",
					Run:  4,
				}}
			})
			test.steps(b)
			assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("k")}))), 1)
			cmds := b.update(RunMsg{Task: taskOf("j")})
			assert.Equal(t, len(starts(cmds)), test.want)
			if test.want == 0 {
				assert.Equal(t, ends(cmds)[0].End, work.EndNotStarted)
				assert.Equal(t, ends(cmds)[0].Reason, core.ReasonCapacity)
			}
		})
	}
}

// TestRestartKeepsNewOwner guards against a host that takes a server back from its new owner,
// whose token is higher, because it notices a restart.
func TestRestartKeepsNewOwner(t *testing.T) {
	b := newHarness(t, "a")
	const newOwner = 100 * tokenStep
	servers := entries("a")
	servers[0].StartedAtMillis = 2
	cmds := b.update(AssignMsg{
		Servers: servers,
		Token:   newOwner + tokenStep,
	})
	assert.Equal(t, polls(cmds)[0].Token, int64(7))
	cmds = b.answerPoll("a", restartedAt(5))
	assert.Assert(t, polls(cmds)[0].Token > 7)
	assert.Assert(t, polls(cmds)[0].Token < newOwner)
}

// TestStopAtNewProcess guards against a run that is never stopped, as only the earlier process
// of its server has confirmed the stop.
func TestStopAtNewProcess(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.update(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	token := stops(b.update(StopMsg{Name: "j.0.0.0"}))[0].Token
	b.update(StoppedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Sent:   b.now,
		Clock:  b.clock(),
	})
	b.advance(10 * time.Millisecond)
	cmds := b.answerPoll("a", restartedAt(20))
	assert.Equal(t, len(stops(cmds)), 1)
	assert.Assert(t, stops(cmds)[0].Token > token)
	b.answerPoll("a", restartedAt(30, ListedRun{
		Name: "j.0.0.0",
		Run:  1,
	}))
	b.advance(limits.AnswerTimeout)
	assert.Equal(t, len(stops(b.update(TickMsg{}))), 1)
	b.answerPoll("a", restartedAt(120))
	b.update(StoppedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Sent:   b.now,
		Clock:  120,
	})
	b.answerPoll("a", restartedAt(120))
	assert.Equal(t, len(ends(b.cmds)), 0)
	b.advance(stopMargin*limits.StopTimeout + time.Millisecond)
	cmds = b.answerPoll("a", restartedAt(230))
	assert.Equal(t, len(ends(cmds)), 1)
}

// TestAnswerWithoutClock checks that an answer without a body, as an unhealthy server gives
// it, doesn't count as that of a new process, whose clock would read 0.
func TestAnswerWithoutClock(t *testing.T) {
	b := lifetimeHarness(t, "a")
	token := b.model.servers["a"].token
	b.startAt("a", b.confirmedTask("k", 0))
	order := starts(b.update(RunMsg{Task: b.confirmedTask("j", 0)}))[0]
	cmds := b.update(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Sent:   order.Sent,
		Result: Busy,
	})
	assert.Equal(t, ends(cmds)[0].Reason, core.ReasonBusy)
	s := b.model.servers["a"]
	assert.Equal(t, s.token, token)
	assert.Equal(t, s.phase, ready)
	assert.Equal(t, len(s.runs), 1)
}
