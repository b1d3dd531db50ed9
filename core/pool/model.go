package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/work"
)

// Limits sets the pace of orders and how servers are judged.
type Limits struct {
	Lease    time.Duration // length of the leases asked for
	Answer   time.Duration // after which an order counts as unanswered
	Hedge    time.Duration // after which a start without an answer is sent once more beside the first
	PollWait time.Duration // that a hold waits for an end
	Quick    time.Duration // the same while ends are being waited for or answers get lost
	Confirm  time.Duration // between reaching a server of another failure domain and taking it over
	Retake   time.Duration // pause before a server that was fenced off is taken over again
	Slow     float64       // run time by its prediction that makes a server slow
	Margin   time.Duration // added to a prediction before a run counts as slow
	Give     time.Duration // after which a start without an answer is given up
	Probe    time.Duration // pause between looks at a server that doesn't answer
	Health   health.Limits
	Pace     float64 // part of a new run time in a server's average
	PaceMax  float64 // average above which a server is used last
}

// Model is the backend servers of one service that this host owns.
type Model struct {
	domain  string // failure domain of this host
	limits  Limits
	servers map[string]*server
	order   []*server            // the same by ID; nil when it is to be made anew
	token   int64                // highest token used
	loss    float64              // part of recent calls that got no answer
	fenced  map[string]time.Time // servers that another host took, and when
	where   map[string]string    // run's task name to server
}

// New returns a pool without servers, at a host of a failure domain.
func New(domain string, l Limits) *Model {
	return &Model{
		domain:  domain,
		limits:  l,
		servers: map[string]*server{},
		fenced:  map[string]time.Time{},
		where:   map[string]string{},
	}
}

// The measure of lost answers over all servers: a few lost ones mean that a
// server is gone, many mean that answers get lost everywhere.
const (
	lossPart       = 0.02 // part of one call in the average
	lossHigh       = 0.1  // from which answers get lost everywhere
	missesWhenHigh = 2    // calls in a row that a server may then leave unanswered
)

// heardOf notes whether a call got its answer.
func (m *Model) heardOf(s *server, answered bool) {
	lost := 0.0
	if !answered {
		lost = 1
		s.misses++
	}
	m.loss += lossPart * (lost - m.loss)
}

// misses returns how many calls in a row a server may leave unanswered before
// it gets no new work.
func (m *Model) misses() int {
	if m.loss >= lossHigh {
		return missesWhenHigh
	}
	return 0
}

// Update takes one message and returns what has to be done about it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case OwnMsg:
		return m.own(now, msg)
	case RunMsg:
		return m.run(now, msg)
	case StopMsg:
		return m.stop(now, msg)
	case StartedMsg:
		return m.started(now, msg)
	case StoppedMsg:
		return m.stopped(now, msg)
	case HeldMsg:
		return m.held(now, msg)
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

// Held returns the servers that this host holds or is taking over, sorted.
func (m *Model) Held() []string {
	ids := make([]string, 0, len(m.servers))
	for id, s := range m.servers {
		if s.held() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Holds reports whether this host holds any server.
func (m *Model) Holds() bool {
	for _, s := range m.servers {
		if s.held() {
			return true
		}
	}
	return false
}

// held reports whether the server is this host's, or about to be.
func (s *server) held() bool { return s.phase != peeking && s.phase != lost }

// sorted returns the servers in a fixed order, so that decisions repeat. Callers
// may remove servers while they go through it.
func (m *Model) sorted() []*server {
	if m.order == nil {
		m.order = make([]*server, 0, len(m.servers))
		for _, s := range m.servers {
			m.order = append(m.order, s)
		}
		slices.SortFunc(m.order, func(a, b *server) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	return m.order
}

func (m *Model) add(s *server) {
	m.servers[s.entry.ID] = s
	m.order = nil
}

func (m *Model) remove(s *server) {
	delete(m.servers, s.entry.ID)
	m.order = nil
}

// own takes over servers that are new and lets go of those that left the list.
func (m *Model) own(now time.Time, msg OwnMsg) []Cmd {
	m.token = max(m.token, msg.Token)
	wanted := map[string]bool{}
	var cmds []Cmd
	for _, entry := range msg.Servers {
		wanted[entry.ID] = true
		cmds = append(cmds, m.want(now, entry)...)
	}
	for _, s := range m.sorted() {
		if !wanted[s.entry.ID] {
			s.releasing = true
			cmds = append(cmds, m.release(now, s)...)
		}
	}
	return append(cmds, RoomCmd{})
}

func (m *Model) want(now time.Time, entry listing.Server) []Cmd {
	s := m.servers[entry.ID]
	if s != nil {
		var cmds []Cmd
		if s.entry.StartedAtMillis != 0 && entry.StartedAtMillis > s.entry.StartedAtMillis {
			cmds = m.reborn(now, s, entry.StartedAtMillis)
		}
		born := s.entry.StartedAtMillis
		s.entry, s.releasing = entry, false
		s.entry.StartedAtMillis = max(born, entry.StartedAtMillis)
		return cmds
	}
	if at, ok := m.fenced[entry.ID]; ok && now.Sub(at) < m.limits.Retake {
		return nil
	}
	delete(m.fenced, entry.ID)
	if entry.Draining {
		return nil
	}
	s = newServer(entry, m.token, m.limits)
	if entry.Domain != m.domain {
		s.phase = peeking
	}
	m.add(s)
	cmds := []Cmd{NoteCmd{
		Server: entry.ID,
		Event:  "takeover",
		Detail: fmt.Sprintf("token %d", s.token),
	}}
	return append(cmds, m.hold(now, s)...)
}

// release lets an empty server go.
func (m *Model) release(_ time.Time, s *server) []Cmd {
	if !(s.releasing || s.phase == lost) || len(s.runs) > 0 || m.servers[s.entry.ID] != s {
		return nil
	}
	m.remove(s)
	if s.phase == lost {
		return nil
	}
	return []Cmd{NoteCmd{
		Server: s.entry.ID,
		Event:  "released",
	}}
}

// reborn ends everything that ran before a server started anew.
func (m *Model) reborn(now time.Time, s *server, born int64) []Cmd {
	cmds := m.endAll(now, s, work.EndLapsed, core.ReasonLapsed)
	s.entry.StartedAtMillis = born
	s.phase, s.orphans = looking, nil
	s.clock, s.heard, s.granted, s.seen = 0, time.Time{}, 0, 0
	s.holding = false
	s.serial++
	return append(cmds, NoteCmd{
		Server: s.entry.ID,
		Event:  "restarted",
		Detail: fmt.Sprintf("born %d", born),
	})
}

// lose drops a server that another host holds; its runs may go on. A start whose
// answer is still to come is judged by that: the server ignores it if the other host
// was there before.
func (m *Model) lose(now time.Time, s *server) []Cmd {
	var cmds []Cmd
	for _, r := range s.ordered() {
		if !r.undecided() {
			cmds = append(cmds, m.end(now, s, r, work.EndUnknown, core.ReasonUnknown)...)
		}
	}
	if s.phase == lost {
		return cmds
	}
	s.phase = lost
	m.fenced[s.entry.ID] = now
	m.token++
	cmds = append(cmds, NoteCmd{
		Server: s.entry.ID,
		Event:  "fenced off",
		Detail: fmt.Sprintf("token %d", s.token),
	}, RoomCmd{})
	return append(cmds, m.release(now, s)...)
}

// undecided reports whether an answer to the run's only kind of order is still to
// come, and none was missed.
func (r *run) undecided() bool {
	return r.state == starting && r.open > 0 && !r.unclear && r.confirmed.IsZero()
}

func (m *Model) endAll(now time.Time, s *server, end work.End, reason core.Reason) []Cmd {
	var cmds []Cmd
	for _, r := range s.ordered() {
		cmds = append(cmds, m.end(now, s, r, end, reason)...)
	}
	return cmds
}

// end forgets a run and tells its owner.
func (m *Model) end(now time.Time, s *server, r *run, end work.End, reason core.Reason) []Cmd {
	name := r.task.Name()
	s.remove(name)
	if m.where[name] == s.entry.ID {
		delete(m.where, name)
	}
	took := time.Duration(0)
	if !r.confirmed.IsZero() {
		took = now.Sub(r.confirmed)
	}
	m.judge(now, s, r, end, took)
	cmds := []Cmd{
		EndCmd{
			Owner:  r.owner,
			Task:   r.task,
			End:    end,
			Server: s.entry.ID,
			Took:   took,
			Reason: cmp.Or(r.reason, reason),
		},
		RoomCmd{},
	}
	return append(cmds, m.release(now, s)...)
}

// judge learns from a run how its server does.
func (m *Model) judge(now time.Time, s *server, r *run, end work.End, took time.Duration) {
	switch end {
	case work.EndDone:
		s.health = s.health.WithSuccess()
		if r.task.Expect <= 0 {
			return
		}
		ratio := float64(took) / float64(r.task.Expect)
		s.pace += m.limits.Pace * (ratio - s.pace)
		if ratio < m.limits.PaceMax {
			s.normal = now
		}
	case work.EndFailed:
		s.health = s.health.WithFailure(now)
	case work.EndStopped, work.EndLapsed, work.EndNever, work.EndUnknown:
		s.health = s.health.WithDrop()
	}
}
