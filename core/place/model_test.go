package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/ticket"
)

var begin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func limits() Limits {
	return Limits{
		MaxWaiting:     100,
		RetryRatio:     0.1,
		MaxRetryBudget: 3,
		Health: health.Limits{
			FailureThreshold: 3,
			InitialBackoff:   time.Second,
			MaxBackoff:       time.Minute,
		},
	}
}

func newModel(p Policy, servers ...Server) *Model {
	m := New(p, limits(), rand.New(rand.NewPCG(1, 1)))
	m.Update(begin, ServersMsg{Servers: servers})
	return m
}

func serverOf(n int) Server {
	return Server{
		ID:          fmt.Sprintf("s%d", n),
		Address:     fmt.Sprintf("127.0.0.1:%d", 8000+n),
		Slots:       2,
		Connections: 8,
	}
}

func enqueue(sequence uint64, tasks int) EnqueueMsg {
	return EnqueueMsg{
		Job: queue.Job{
			ID:      ticket.ID{Sequence: sequence},
			Team:    "guild",
			Tasks:   tasks,
			Arrived: begin,
		},
		Deadline: begin.Add(time.Hour),
	}
}

// tracker records the waiting and the sent tasks independently of the Model.
type tracker struct {
	m         *Model
	now       time.Time
	sent      []StartCmd
	perServer map[string]int
	waiting   map[ticket.ID]int
	revoked   map[ticket.ID]bool
}

// TestModelInvariants drives a Model with random messages and checks that it
// stays within its share of connections, starts nothing on servers that are
// leaving and nothing of revoked jobs, and loses no task.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaving := map[string]bool{}
		servers := []Server{serverOf(0), serverOf(1), serverOf(2)}
		b := &tracker{
			m:         newModel(Window{Factor: 2, MinOutstanding: 1}, servers...),
			now:       begin,
			perServer: map[string]int{},
			waiting:   map[ticket.ID]int{},
			revoked:   map[ticket.ID]bool{},
		}
		b.m.Update(begin, SharingMsg{
			Queues:          2,
			ConnectionShare: 0.5,
		})
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			b.now = b.now.Add(50 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				b.run(t, leaving, enqueue(uint64(step+1), rapid.IntRange(1, 6).Draw(t, "tasks")))
			case 2:
				b.finish(t, leaving)
			case 3:
				n := rapid.IntRange(0, 2).Draw(t, "server")
				servers[n].Leaving = !servers[n].Leaving
				leaving[servers[n].ID] = servers[n].Leaving
				b.run(t, leaving, ServersMsg{Servers: servers})
			case 4:
				id := ticket.ID{Sequence: uint64(rapid.IntRange(1, step+1).Draw(t, "job"))}
				b.revoked[id] = true
				delete(b.waiting, id)
				b.run(t, leaving, RevokeMsg{ID: id})
			}
			sum := 0
			for _, n := range b.waiting {
				sum += n
			}
			assert.Equal(t, b.m.Waiting(), sum)
			assert.Equal(t, b.m.Outstanding(), len(b.sent))
		}
	})
}

func (b *tracker) run(t *rapid.T, leaving map[string]bool, msg Msg) {
	if e, ok := msg.(EnqueueMsg); ok {
		b.waiting[e.Job.ID] = e.Job.Tasks
	}
	for _, cmd := range b.m.Update(b.now, msg) {
		switch cmd := cmd.(type) {
		case StartCmd:
			assert.Assert(t, !leaving[cmd.Server], "task started on a server that is leaving")
			assert.Assert(t, !b.revoked[cmd.Ref.ID], "task of a revoked job started")
			b.sent = append(b.sent, cmd)
			b.perServer[cmd.Server]++
			assert.Assert(t, b.perServer[cmd.Server] <= 4, "more than 4 of 8 connections used, share is 0.5")
			b.waiting[cmd.Ref.ID]--
		case RefuseCmd:
			delete(b.waiting, cmd.ID)
		case RetryCmd:
			b.waiting[cmd.Ref.ID]++
		case AcceptCmd, FailCmd, EjectCmd:
		}
	}
}

// finish ends a random outstanding task with a random result.
func (b *tracker) finish(t *rapid.T, leaving map[string]bool) {
	if len(b.sent) == 0 {
		return
	}
	n := rapid.IntRange(0, len(b.sent)-1).Draw(t, "send")
	cmd := b.sent[n]
	b.sent = append(b.sent[:n:n], b.sent[n+1:]...)
	b.perServer[cmd.Server]--
	b.run(t, leaving, DoneMsg{
		Ref:        cmd.Ref,
		Server:     cmd.Server,
		Result:     Result(rapid.IntRange(int(Answered), int(Dropped)).Draw(t, "result")),
		Reason:     core.ReasonReset,
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Took:       time.Millisecond,
	})
}

func TestAdmission(t *testing.T) {
	large := enqueue(9, 1)
	large.Need = Size{Cores: 99}
	sized := serverOf(0)
	sized.Size = Size{Cores: 16}
	tests := []struct {
		name   string
		before []Msg
		msg    EnqueueMsg
		want   core.Reason
	}{
		{
			name: "accepted",
			msg:  enqueue(1, 5),
		},
		{
			name: "fits no server",
			msg:  large,
			want: core.ReasonFit,
		},
		{
			name: "queue full",
			msg:  enqueue(1, 101),
			want: core.ReasonOverload,
		},
		{
			name:   "quota used up",
			before: []Msg{QuotaMsg{Quotas: map[string]int{"guild": 3}}, enqueue(1, 2)},
			msg:    enqueue(2, 2),
			want:   core.ReasonQuota,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(Window{Factor: 1}, sized)
			for _, msg := range test.before {
				m.Update(begin, msg)
			}
			var got core.Reason
			for _, cmd := range m.Update(begin, test.msg) {
				if refuse, ok := cmd.(RefuseCmd); ok {
					got = refuse.Reason
				}
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestWaitPastDeadline checks that a job is refused immediately if its estimated
// end is after its deadline.
func TestWaitPastDeadline(t *testing.T) {
	m := newModel(Window{Factor: 1}, serverOf(0))
	for _, cmd := range m.Update(begin, enqueue(1, 1)) {
		if start, ok := cmd.(StartCmd); ok {
			m.Update(begin, DoneMsg{
				Ref:    start.Ref,
				Server: start.Server,
				Result: Answered,
				Took:   time.Second,
			})
		}
	}
	msg := enqueue(2, 20)
	msg.Deadline = begin.Add(9 * time.Second)
	refuse, ok := m.Update(begin, msg)[0].(RefuseCmd)
	assert.Assert(t, ok)
	assert.Equal(t, refuse.Reason, core.ReasonWait)
	// 20 tasks on 2 slots take 10 s to start, and the last one runs for 1 s. The
	// tolerance covers the two-digit precision of the histogram.
	excess := refuse.RetryAfter - 2*time.Second
	assert.Assert(t, excess >= 0 && excess < 200*time.Millisecond, "%s", refuse.RetryAfter)
}

// TestLateJobRefused checks that a job that can no longer meet its
// deadline when it reaches the head of the queue is refused instead of started.
func TestLateJobRefused(t *testing.T) {
	m := newModel(Window{Factor: 1}, serverOf(0))
	first := m.Update(begin, enqueue(1, 2))
	late := enqueue(2, 2)
	late.Deadline = begin.Add(3 * time.Second)
	m.Update(begin, late)
	now := begin.Add(2500 * time.Millisecond)
	var refused, started int
	for _, cmd := range first[1:] {
		start := cmd.(StartCmd)
		for _, cmd := range m.Update(now, DoneMsg{
			Ref:    start.Ref,
			Server: start.Server,
			Result: Answered,
			Took:   2500 * time.Millisecond,
		}) {
			switch cmd.(type) {
			case RefuseCmd:
				refused++
			case StartCmd:
				started++
			}
		}
	}
	assert.Equal(t, refused, 1)
	assert.Equal(t, started, 0)
	assert.Equal(t, m.Waiting(), 0)
}

// TestNewIDResetsHealth checks that a server with a new ID at a known
// address starts with clean health.
func TestNewIDResetsHealth(t *testing.T) {
	m := newModel(LeastOutstanding{}, serverOf(0))
	for sequence := uint64(1); sequence <= 3; sequence++ {
		for _, cmd := range m.Update(begin, enqueue(sequence, 1)) {
			if start, ok := cmd.(StartCmd); ok {
				m.Update(begin, DoneMsg{
					Ref:    start.Ref,
					Server: start.Server,
					Result: Failed,
				})
			}
		}
	}
	_, usable := m.Servers(begin)
	assert.Equal(t, usable, 0)
	again := serverOf(0)
	again.ID = "s0-again"
	m.Update(begin, ServersMsg{Servers: []Server{again}})
	_, usable = m.Servers(begin)
	assert.Equal(t, usable, 1)
}

// BenchmarkStart measures the start and the answer of one task.
func BenchmarkStart(b *testing.B) {
	for _, servers := range []int{50, 1100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			list := make([]Server, 0, servers)
			for n := range servers {
				list = append(list, serverOf(n))
			}
			m := newModel(Window{Factor: 2, MinOutstanding: 1}, list...)
			m.Update(begin, SharingMsg{
				Queues:          9,
				ConnectionShare: 0.12,
			})
			sequence := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				for _, cmd := range m.Update(begin, enqueue(sequence, 1)) {
					if start, ok := cmd.(StartCmd); ok {
						m.Update(begin, DoneMsg{
							Ref:    start.Ref,
							Server: start.Server,
							Result: Answered,
							Took:   time.Millisecond,
						})
					}
				}
			}
		})
	}
}
