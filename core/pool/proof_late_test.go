package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

// relist lists the servers with a change to the first one.
func (b *harness) relist(change func(*listing.Server)) {
	var servers []listing.Server
	for _, s := range b.model.sortedServers() {
		servers = append(servers, s.entry)
	}
	change(&servers[0])
	b.update(AssignMsg{
		Servers: servers,
		Token:   7,
	})
}

func reborn(s *listing.Server) { s.StartedAtMillis = 2 }

func moved(s *listing.Server) { s.Address = "elsewhere:1" }

// unknown is a run that the pool doesn't know.
var unknown = ListedRun{
	Name: "j.0.0.0",
	Run:  4,
}

// grantedHarness returns a harness whose limits name the longest lease.
func grantedHarness(t testing.TB, servers ...string) *harness {
	t.Helper()
	l := limits
	l.MaxLease = maxLease
	return newHarnessWith(t, l, servers...)
}

// TestDoubtForgetsEnds guards against a run that is repeated after it has ended as done, because
// the poll that decides on a suspected restart made the new process forget its ends.
func TestDoubtForgetsEnds(t *testing.T) {
	b := proofHarness(t, "a")
	b.answerPoll("a", func(m *PollResultMsg) {
		m.Ended = []ListedEnd{{
			Number: 1,
			Name:   "j.0.0.0",
			Run:    1,
			End:    work.EndDone,
		}}
	})
	b.update(RunMsg{Task: taskOf("k")})
	b.cmds = nil
	b.relist(reborn)
	forgotten := polls(b.cmds)[0].LastEnd
	list := restartedAt(5)
	if forgotten == 0 {
		list = func(m *PollResultMsg) {
			m.Born, m.Clock = 2, 5
			m.Ended = []ListedEnd{{
				Number: 1,
				Name:   "k.0.0.0",
				Run:    1,
				End:    work.EndDone,
			}}
		}
	}
	b.answerPoll("a", list)
	b.update(StartedMsg{
		Server: "a",
		Name:   "k.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	b.answerPoll("a", list)
	b.answerPoll("a", list)
	assert.Equal(t, len(ends(b.cmds)), 1)
	assert.Equal(t, ends(b.cmds)[0].End, work.EndDone)
}

// TestLeaseUntilTokenRaised guards against an unknown run that counts as ended too early: an order
// under the former token extended its lease after the lists that showed the restart.
func TestLeaseUntilTokenRaised(t *testing.T) {
	b := grantedHarness(t, "a", "b")
	b.relist(reborn)
	b.answerPoll("a", restartedAt(10))
	b.advance(200 * time.Millisecond)
	b.answerPoll("a", restartedAt(210, unknown))
	b.advance(maxLease - 20*time.Millisecond)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("j")}))), 0)
}

// TestClockReadBeforeTakeover guards against the same after a takeover in which the server read
// its clock long before it noted the token.
func TestClockReadBeforeTakeover(t *testing.T) {
	b := grantedHarness(t, "b")
	b.update(AssignMsg{
		Servers: entries("a", "b"),
		Token:   7,
	})
	sent, clock := b.now, b.clock()
	b.advance(70 * time.Millisecond)
	list := func(m *PollResultMsg) { m.Running = []ListedRun{unknown} }
	b.answerPoll("a", list, func(m *PollResultMsg) { m.Sent, m.Clock = sent, clock })
	b.answerPoll("a", list)
	b.advance(maxLease - 20*time.Millisecond)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("j")}))), 0)
}

// TestOrphanAtOtherAddressForgotten guards against a task that is started while an unknown run of
// it goes on, because another server answered at an address where its server never was.
func TestOrphanAtOtherAddressForgotten(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.relist(reborn)
	b.answerPoll("a", restartedAt(5))
	b.answerPoll("a", restartedAt(10, unknown))
	b.relist(moved)
	b.answerPoll("a", restartedAt(15, unknown))
	b.answerPoll("a", func(m *PollResultMsg) { m.Result = Replaced })
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("j")}))), 0)
}

// TestReplacedAtFormerAddress guards against a run that is started elsewhere because another
// server answers at the address that its server had before the run was ordered.
func TestReplacedAtFormerAddress(t *testing.T) {
	b := proofHarness(t, "a")
	b.relist(moved)
	b.startAt("a", taskOf("k"))
	b.answerPoll("a", func(m *PollResultMsg) { m.Result = Replaced })
	for _, end := range ends(b.cmds) {
		assert.Assert(t, end.Task.Job != "k", "ended as %s, ordered at %s", end.Proof, starts(b.cmds)[1].Address)
	}
}

// TestOwnTokenFences guards against runs whose end counts as unknown because the pool takes its
// own higher token for that of another host.
func TestOwnTokenFences(t *testing.T) {
	b := proofHarness(t, "a")
	b.update(StopMsg{
		Name:  "j.0.0.0",
		Owner: owner,
	})
	b.answerPoll("a", func(m *PollResultMsg) { m.Result = Unanswered })
	var late StopCmd
	for begin := b.now; len(ends(b.cmds)) == 0 && b.now.Sub(begin) < 2*time.Second; b.advance(10 * time.Millisecond) {
		b.update(TickMsg{})
		late = stops(b.cmds)[len(stops(b.cmds))-1]
	}
	b.answerPoll("a")
	b.startAt("a", taskOf("k"))
	assert.Assert(t, b.now.Sub(late.Sent) < limits.AnswerTimeout)
	b.update(StoppedMsg{
		Server: "a",
		Name:   late.Name,
		Run:    late.Run,
		Sent:   late.Sent,
		Result: Fenced,
	})
	assert.Equal(t, len(ends(b.cmds)), 1)
}

// TestLateStartRepeatedForever guards against a start that is repeated without end, and its task
// that gets no other server, because each order arrives after its deadline.
func TestLateStartRepeatedForever(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	for begin := b.now; len(ends(b.cmds)) == 0 && b.now.Sub(begin) < 2*limits.StartTimeout; {
		b.advance(time.Millisecond)
		b.update(StartedMsg{
			Server: "a",
			Name:   "j.0.0.0",
			Run:    1,
			Result: DeadlinePassed,
			Clock:  b.clock(),
		})
	}
	assert.Equal(t, len(ends(b.cmds)), 1, "%d starts", len(starts(b.cmds)))
}

// TestEndsListedInPart guards against a run that is repeated after it has ended as done, because
// its end is not among the 500 that a server lists at once.
func TestEndsListedInPart(t *testing.T) {
	b := proofHarness(t, "a")
	b.update(StopMsg{
		Name:  "j.0.0.0",
		Owner: owner,
	})
	b.answerStop("a", "j.0.0.0", 1, Accepted)
	b.advance(stopMargin*stopTimeout + time.Millisecond)
	list := func(from, to int) func(m *PollResultMsg) {
		return func(m *PollResultMsg) {
			for n := from; n <= to; n++ {
				m.Ended = append(m.Ended, ListedEnd{
					Number: n,
					Name:   "earlier.0.0.0",
					Run:    n,
					End:    work.EndStopped,
				})
			}
		}
	}
	b.answerPoll("a", list(1, 500))
	b.answerPoll("a", list(501, 501), func(m *PollResultMsg) { m.Ended[0].Name, m.Ended[0].Run, m.Ended[0].End = "j.0.0.0", 1, work.EndDone })
	assert.Equal(t, len(ends(b.cmds)), 1)
	assert.Equal(t, ends(b.cmds)[0].End, work.EndDone)
}

// TestMissingRunKept guards against a run that is kept for ever though no list has it, because
// polls go on to extend its lease while no stop order is accepted.
func TestMissingRunKept(t *testing.T) {
	tests := []struct {
		name   string
		result Result
		ahead  int64
	}{
		{
			name:   "stops refused",
			result: Busy,
		},
		{
			name:  "clock odd in each answer to a stop",
			ahead: 30,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := proofHarness(t, "a")
			for begin := b.now; len(ends(b.cmds)) == 0 && b.now.Sub(begin) < 10*time.Second; {
				b.advance(10 * time.Millisecond)
				for _, cmd := range stops(b.update(TickMsg{})) {
					b.update(StoppedMsg{
						Server: "a",
						Name:   cmd.Name,
						Run:    cmd.Run,
						Sent:   cmd.Sent,
						Result: test.result,
						Clock:  b.clock() + test.ahead,
					})
				}
				b.answerPoll("a")
			}
			assert.Equal(t, len(ends(b.cmds)), 1, "%d stops, lease until %d at %d", len(stops(b.cmds)), b.lastDeadline("a:1"), b.clock())
		})
	}
}

// TestStartStoppedInDoubt guards against a run that is stopped as unconfirmed because its start
// got no answer while its server was in doubt.
func TestStartStoppedInDoubt(t *testing.T) {
	b := proofHarness(t, "a")
	b.update(RunMsg{Task: taskOf("k")})
	b.relist(reborn)
	b.cmds = nil
	b.update(StartedMsg{
		Server: "a",
		Name:   "k.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	b.update(TickMsg{})
	assert.Equal(t, len(starts(b.cmds))+len(stops(b.cmds))+len(ends(b.cmds)), 0)
	b.answerPoll("a", listRuns("j.0.0.0"))
	assert.Equal(t, len(starts(b.update(TickMsg{}))), 1)
	assert.Equal(t, len(stops(b.cmds)), 0)
}

// TestListsBeforeTokenNoted guards against a run that is started elsewhere while a new process
// of its server runs it, as one of the two lists without it was made before the process noted
// the token that keeps the order out.
func TestListsBeforeTokenNoted(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.update(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	b.answerPoll("a", restartedAt(5))
	b.advance(10 * time.Millisecond)
	b.answerPoll("a", restartedAt(15))
	// The order is carried out after that list was made, and before the token is noted.
	b.advance(10 * time.Millisecond)
	b.answerPoll("a", restartedAt(25))
	assert.Equal(t, len(ends(b.cmds)), 0)
	b.advance(10 * time.Millisecond)
	b.answerPoll("a", restartedAt(35, ListedRun{
		Name: "j.0.0.0",
		Run:  1,
	}))
	assert.Equal(t, len(ends(b.cmds))+len(stops(b.cmds)), 0)
	assert.Equal(t, len(b.model.servers["a"].runs), 1)
}

// TestUnansweredStartAtReplacedServer guards against a task that is started elsewhere while a
// later process under its server's ID runs it, because another server had answered at the
// address before.
func TestUnansweredStartAtReplacedServer(t *testing.T) {
	replaced := func(m *PollResultMsg) { m.Result = Replaced }
	running := ListedRun{
		Name: "k.0.0.0",
		Run:  1,
	}
	answer := func(b *harness, result Result) {
		b.update(StartedMsg{
			Server: "a",
			Name:   "k.0.0.0",
			Run:    1,
			Result: result,
		})
	}
	tests := []struct {
		name  string
		steps func(b *harness)
		want  Proof // of the end; "" if the run goes on
	}{
		{
			name: "no answer yet",
			steps: func(b *harness) {
				b.answerPoll("a", replaced)
			},
		},
		{
			name: "a later process lists it",
			steps: func(b *harness) {
				answer(b, Unanswered)
				b.answerPoll("a", replaced)
				for clock := int64(5); clock < 50; clock += 10 {
					b.advance(limits.ProbeInterval)
					b.update(TickMsg{})
					b.answerPoll("a", restartedAt(clock, running))
				}
				assert.Equal(b.t, len(b.model.servers["a"].runs), 1)
			},
		},
		{
			name: "a later process doesn't list it",
			steps: func(b *harness) {
				answer(b, Unanswered)
				b.answerPoll("a", replaced)
				for clock := int64(5); clock < 50; clock += 10 {
					b.advance(limits.ProbeInterval)
					b.update(TickMsg{})
					b.answerPoll("a", restartedAt(clock))
				}
			},
			want: ProofMissing,
		},
		{
			name: "for less than a lease",
			steps: func(b *harness) {
				answer(b, Unanswered)
				for begin := b.now; b.now.Sub(begin) < maxLease+stopTimeout; b.advance(10 * time.Millisecond) {
					b.update(TickMsg{})
					b.answerPoll("a", replaced)
				}
			},
		},
		{
			name: "for longer than a lease",
			steps: func(b *harness) {
				answer(b, Unanswered)
				for begin := b.now; b.model.servers["a"] != nil && b.now.Sub(begin) < maxLease+3*stopTimeout; b.advance(10 * time.Millisecond) {
					b.answerPoll("a", replaced)
					b.update(TickMsg{})
				}
				assert.Assert(b.t, b.model.servers["a"] == nil)
			},
			want: ProofLease,
		},
		{
			name: "the other server answered it",
			steps: func(b *harness) {
				b.answerPoll("a", replaced)
				answer(b, Replaced)
				assert.Assert(b.t, b.model.servers["a"] == nil)
			},
			want: ProofRejected,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := grantedHarness(t, "a")
			b.startAt("a", taskOf("j"))
			b.advance(10 * time.Millisecond)
			b.answerPoll("a", listRuns("j.0.0.0"))
			b.update(RunMsg{Task: taskOf("k")})
			b.cmds = nil
			test.steps(b)
			proofs := map[string]Proof{}
			for _, end := range ends(b.cmds) {
				proofs[end.Task.Job] = end.Proof
			}
			want := map[string]Proof{"j": ProofReplaced}
			if test.want != "" {
				want["k"] = test.want
			}
			assert.DeepEqual(t, proofs, want)
		})
	}
}

// TestIdleServerRestartsUnnoticed guards against a start without an answer that a new process
// carries out after its task has ended, as an idle server isn't polled and so sees no token.
func TestIdleServerRestartsUnnoticed(t *testing.T) {
	b := newHarness(t, "a")
	b.update(RunMsg{Task: taskOf("j")})
	b.update(StartedMsg{
		Server: "a",
		Name:   "j.0.0.0",
		Run:    1,
		Result: Unanswered,
	})
	b.acceptStart("a", "j.0.0.0", 1)
	b.answerPoll("a", func(m *PollResultMsg) {
		m.Ended = []ListedEnd{{
			Number: 1,
			Name:   "j.0.0.0",
			Run:    1,
			End:    work.EndDone,
		}}
	})
	polled := func(d time.Duration) int {
		n := 0
		for begin := b.now; b.now.Sub(begin) < d; b.advance(10 * time.Millisecond) {
			if cmds := polls(b.update(TickMsg{})); len(cmds) > 0 {
				n++
				b.answerPoll("a")
			}
		}
		return n
	}
	assert.Equal(t, len(ends(b.cmds)), 1)
	assert.Assert(t, polled(time.Second) >= 4)
	assert.Equal(t, len(polls(b.update(RunMsg{Task: taskOf("k")}))), 1)
	b.acceptStart("a", "k.0.0.0", 1)
	b.answerPoll("a", func(m *PollResultMsg) {
		m.Ended = []ListedEnd{{
			Number: 2,
			Name:   "k.0.0.0",
			Run:    1,
			End:    work.EndDone,
		}}
	})
	polled(maxOrderDelay)
	assert.Assert(t, polled(maxClockAge) <= 1)
}

// TestOrphanStopsAfterLease guards against a task that is started while an unknown run of it is
// still being stopped at a server that another host owns now.
func TestOrphanStopsAfterLease(t *testing.T) {
	b := grantedHarness(t, "a", "b")
	b.relist(reborn)
	b.answerPoll("a", restartedAt(5))
	b.answerPoll("a", restartedAt(10, unknown))
	b.answerPoll("a", func(m *PollResultMsg) { m.Result = Fenced })
	assert.Assert(t, b.model.servers["a"] == nil)
	rate := minClockRate
	b.advance(time.Duration(float64(maxLease)/rate) + stopTimeout)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("j")}))), 0)
	b.advance(stopTimeout)
	assert.Equal(t, len(starts(b.update(RunMsg{Task: taskOf("j")}))), 1)
}
