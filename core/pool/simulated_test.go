package pool

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywalk/core/work"
)

// Network is how orders, answers and messages between hosts are delayed and lost.
type Network struct {
	Delay    time.Duration // longest delay one way
	Loss     float64       // share of orders and answers that are lost
	LateLoss float64       // share of lost orders that are carried out later
	StopLoss float64       // share of stop orders that are lost
	Lateness time.Duration // longest time until a lost order is carried out; 0 for maxLateness
}

const (
	stopTime    = 40 * time.Millisecond
	maxLease    = time.Second
	maxLateness = 3 * time.Second
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// SimulatedTime is a simulated clock with the events to come.
type SimulatedTime struct {
	Random *rand.Rand
	Now    time.Time
	queue  eventQueue
	seq    int
}

// At schedules an event.
func (t *SimulatedTime) At(at time.Time, run func()) {
	t.seq++
	heap.Push(&t.queue, event{
		at:  at,
		seq: t.seq,
		run: run,
	})
}

// After schedules an event in a time from now.
func (t *SimulatedTime) After(d time.Duration, run func()) { t.At(t.Now.Add(d), run) }

// UpTo returns a random duration.
func (t *SimulatedTime) UpTo(d time.Duration) time.Duration {
	return time.Duration(t.Random.Int64N(int64(d) + 1))
}

// Happens returns true for a random share of its calls.
func (t *SimulatedTime) Happens(share float64) bool { return t.Random.Float64() < share }

// RunUntil runs the events up to a time.
func (t *SimulatedTime) RunUntil(end time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		e := heap.Pop(&t.queue).(event)
		t.Now = e.at
		e.run()
	}
}

// SimulatedServers are backend servers on a simulated clock.
type SimulatedServers struct {
	SimulatedTime

	Network       Network
	Ways          Ways
	AnswerTimeout time.Duration
	Servers       map[string]*SimulatedServer
	RunTime       func(name string) time.Duration       // of a task
	OnEnd         func(s *SimulatedServer, name string) // called before a run ends
	Twice         []string                              // runs that started beside another run of their task
	Repeated      []string                              // runs that started after their task was known to be done
	Deadly        func(name string) bool                // reports whether a task crashes the server that runs it; nil for none
	Downtime      time.Duration                         // until a crashed server is back
	Crashes       []SimulatedCrash
	Deaths        map[string]int // crashes under each deadly task
	LateStarts    map[string]int // starts of each deadly task after the third crash under it
	Overfilled    []string       // starts that exceeded the capacity of a server

	rate float64         // of the servers' clocks
	done map[string]bool // tasks whose end as done a pool has reported, by name
}

// NewSimulatedServers returns servers that have run for up to five seconds.
func NewSimulatedServers(seed uint64, rate float64, ids ...string) *SimulatedServers {
	t := &SimulatedServers{
		SimulatedTime: SimulatedTime{
			Random: rand.New(rand.NewPCG(seed, 0)),
			Now:    time.Unix(1000, 0),
		},
		Servers:    map[string]*SimulatedServer{},
		Deaths:     map[string]int{},
		LateStarts: map[string]int{},
		done:       map[string]bool{},
		rate:       rate,
	}
	for _, id := range ids {
		t.Servers[id] = &SimulatedServer{
			ID:   id,
			Born: t.Now.Add(-time.Duration(t.Random.IntN(5000)) * time.Millisecond),
			all:  t,
			runs: map[string]*simulatedRun{},
			last: map[string]int{},
		}
	}
	return t
}

// Restart ends the process of a server with all that it runs and knows. A new one starts
// under the same ID after a time. Its clock may read anything.
func (t *SimulatedServers) Restart(id string, down time.Duration) {
	old := t.Servers[id]
	s := &SimulatedServer{
		ID:      id,
		earlier: old.Born,

		Born:   t.Now.Add(down),
		DownTo: t.Now.Add(down),
		all:    t,
		offset: int64(t.Random.IntN(20000)),
		runs:   map[string]*simulatedRun{},
		last:   map[string]int{},
	}
	if t.Happens(0.5) {
		s.offset = 0
	}
	if t.Ways.Silent > 0 {
		s.silentTo = s.Born.Add(t.UpTo(t.Ways.Silent))
	}
	old.ended, old.waiting, old.runs = nil, nil, map[string]*simulatedRun{}
	t.Servers[id] = s
}

// Order carries a command out at its server, under the conditions of the network, and
// delivers the result. It ignores commands that are not for servers.
func (t *SimulatedServers) Order(cmd Cmd, deliver func(Msg)) {
	switch cmd := cmd.(type) {
	case StartCmd:
		answer := StartedMsg{
			Server: cmd.Server,
			Name:   cmd.Task.Name(),
			Run:    cmd.Task.Run,
			Sent:   cmd.Sent,
			Result: Unanswered,
		}
		t.call(cmd.Server, cmd.Address, 0, t.Network.Loss, answer, deliver, func(s *SimulatedServer, reply func(Msg)) {
			s.handle(func() { answer.Result = s.start(cmd) }, func(clock int64) {
				answer.Clock = clock
				reply(answer)
			})
		})
	case StopCmd:
		answer := StoppedMsg{
			Server: cmd.Server,
			Name:   cmd.Name,
			Run:    cmd.Run,
			Sent:   cmd.Sent,
			Result: Unanswered,
		}
		t.call(cmd.Server, cmd.Address, 0, t.Network.StopLoss, answer, deliver, func(s *SimulatedServer, reply func(Msg)) {
			s.handle(func() { answer.Result = s.stop(cmd) }, func(clock int64) {
				answer.Clock = clock
				reply(answer)
			})
		})
	case PollCmd:
		answer := PollResultMsg{
			Server: cmd.Server,
			Serial: cmd.Serial,
			Sent:   t.Now,
			Result: Unanswered,
		}
		t.call(cmd.Server, cmd.Address, cmd.Wait, t.Network.Loss, answer, deliver, func(s *SimulatedServer, reply func(Msg)) {
			s.poll(cmd, answer, reply)
		})
	case EndCmd, CapacityChangedCmd, LogCmd:
	}
}

// call carries an order out at a server and delivers its answer, or unanswered if there
// is none in time.
func (t *SimulatedServers) call(id, address string, wait time.Duration, loss float64, unanswered Msg, answer func(Msg), carryOut func(*SimulatedServer, func(Msg))) {
	if t.Ways.Elsewhere != "" && address == t.Ways.Elsewhere {
		t.After(t.UpTo(t.Network.Delay), func() { answer(replacedAnswer(unanswered)) })
		return
	}
	answered, sent := false, t.Now
	deliver := func(msg Msg) {
		if !answered {
			answered = true
			answer(msg)
		}
	}
	t.After(t.AnswerTimeout+wait, func() { deliver(unanswered) })
	delay := t.UpTo(t.Network.Delay)
	if t.Happens(loss) {
		if !t.Happens(t.Network.LateLoss) {
			return
		}
		delay = t.UpTo(cmp.Or(t.Network.Lateness, maxLateness))
	}
	t.After(delay, func() {
		s := t.Servers[id]
		if t.Now.Before(s.DownTo) || sent.Before(s.Born) && s.token == 0 && !t.Ways.StaleOrders {
			return
		}
		if !sent.Before(s.Born) && t.Now.Before(s.silentTo) {
			return
		}
		s.whenAwake(func() {
			carryOut(s, func(msg Msg) {
				s.whenAwake(func() {
					if !t.Happens(t.Network.Loss) && !t.Now.Before(s.DownTo) && !t.Now.Before(s.silentTo) {
						t.After(t.UpTo(t.Network.Delay), func() {
							s.recordAnswer(msg)
							deliver(msg)
						})
					}
				})
			})
		})
	})
}

// SimulatedServer is a backend server under leases.
type SimulatedServer struct {
	ID       string
	Born     time.Time
	DownTo   time.Time // no order or answer passes before
	silentTo time.Time // only orders from before its start pass before, and no answers
	Capacity work.Size // of a server that has shrunk and doesn't guard it
	Shrunk   bool

	earlier time.Time // start of the process before
	knownAt time.Time // when its lists first arrived; zero before
	all     *SimulatedServers
	offset  int64 // of its clock, in milliseconds
	token   int64
	lease   int64 // end of the lease on its clock
	runs    map[string]*simulatedRun
	last    map[string]int // number of the last run that ended or was stopped, by task name
	ended   []ListedEnd
	waiting []func()

	pausedTo time.Time
}

type simulatedRun struct {
	run      int
	size     work.Size
	stopping bool
	stuck    bool // hardly any progress is listed
}

func (s *SimulatedServer) clock() int64 {
	return s.offset + int64(s.all.rate*float64(s.all.Now.Sub(s.Born))/float64(time.Millisecond))
}

func (s *SimulatedServer) extend(deadline int64) {
	deadline = min(deadline, s.clock()+maxLease.Milliseconds())
	if deadline <= s.lease {
		return
	}
	s.lease = deadline
	end := s.Born.Add(time.Duration(float64(deadline-s.offset) * float64(time.Millisecond) / s.all.rate))
	s.all.At(end, func() {
		if s.lease == deadline {
			for _, name := range slices.Sorted(maps.Keys(s.runs)) {
				s.end(name, work.EndLeaseExpired)
			}
		}
	})
}

func (s *SimulatedServer) end(name string, end work.End) {
	s.all.OnEnd(s, name)
	s.ended = append(s.ended, ListedEnd{
		Number: len(s.ended) + 1,
		Name:   name,
		Run:    s.runs[name].run,
		End:    end,
	})
	s.last[name] = max(s.last[name], s.runs[name].run)
	delete(s.runs, name)
	waiting := s.waiting
	s.waiting = nil
	for _, reply := range waiting {
		reply()
	}
}

func (s *SimulatedServer) endLater(d time.Duration, name string, end work.End) {
	r := s.runs[name]
	s.all.After(d, func() {
		if r != nil && s.runs[name] == r {
			s.end(name, end)
		}
	})
}

func (s *SimulatedServer) fences(token int64) bool {
	if token < s.token {
		return true
	}
	s.token = token
	return false
}

func (s *SimulatedServer) start(cmd StartCmd) Result {
	name := cmd.Task.Name()
	if s.fences(cmd.Token) {
		return Fenced
	}
	if cmd.Deadline <= s.clock() {
		return DeadlinePassed
	}
	s.extend(cmd.Deadline)
	if r := s.runs[name]; r != nil && r.run == cmd.Task.Run {
		return Accepted
	}
	if r := s.runs[name]; cmd.Task.Run <= s.last[name] || r != nil && cmd.Task.Run < r.run {
		return StaleRun
	}
	for _, other := range s.all.Servers {
		if other.runs[name] != nil {
			s.all.Twice = append(s.all.Twice, fmt.Sprintf("%s runs at %s and %s", name, other.ID, s.ID))
		}
	}
	if s.all.done[name] {
		s.all.Repeated = append(s.all.Repeated, fmt.Sprintf("%s runs at %s", name, s.ID))
	}
	s.runs[name] = &simulatedRun{
		run:   cmd.Task.Run,
		size:  cmd.Task.Size,
		stuck: s.all.Ways.Stuck > 0 && s.all.Happens(s.all.Ways.Stuck),
	}
	s.recordStart(name, cmd.Sent)
	s.endLater(s.all.RunTime(name), name, work.EndDone)
	return Accepted
}

func (s *SimulatedServer) stop(cmd StopCmd) Result {
	if s.fences(cmd.Token) {
		return Fenced
	}
	s.last[cmd.Name] = max(s.last[cmd.Name], cmd.Run)
	if r := s.runs[cmd.Name]; r != nil && r.run <= cmd.Run {
		r.stopping = true
		s.endLater(s.all.UpTo(stopTime), cmd.Name, work.EndStopped)
	}
	return Accepted
}

func (s *SimulatedServer) poll(cmd PollCmd, answer PollResultMsg, reply func(Msg)) {
	if s.fences(cmd.Token) {
		answer.Result = Fenced
		reply(answer)
		return
	}
	if cmd.Deadline > 0 {
		s.extend(cmd.Deadline)
	}
	sent := false
	seen := s.watch(cmd.Wait)
	list := func() {
		if sent || s.all.Servers[s.ID] != s {
			return
		}
		sent = true
		answer.Result, answer.Born = Accepted, s.Born.UnixMilli()
		answer.Running, answer.Ended, answer.Clock = seen()
		answer.Ended = slices.DeleteFunc(answer.Ended, func(e ListedEnd) bool { return e.Number <= cmd.LastEnd })
		reply(answer)
	}
	if cmd.Wait == 0 || len(s.ended) > cmd.LastEnd {
		s.afterHandling(list)
		return
	}
	s.waiting = append(s.waiting, list)
	s.all.After(cmd.Wait, list)
}
