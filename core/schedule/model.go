package schedule

import (
	"cmp"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// Limits sets when jobs are refused and what is remembered.
type Limits struct {
	Admit    float64       // part of a job's slack that its expected wait may take when it arrives
	Hopeless float64       // part of its slack from which no moment's patience helps
	Overdue  float64       // part of its slack after which an admitted job that has not begun waits behind others
	Useful   float64       // latency in objectives up to which a late answer is of use
	Hope     float64       // part of the time that a late job has left which its expected wait may take
	Spare    float64       // part of all room that must be free before a late job begins
	Patience time.Duration // that a job gets to find room for all of its tasks after all
	Bounce   time.Duration // pause before a task that found no room is tried again
	Remember time.Duration // that outcomes of finished jobs are kept for resends
	Stale    time.Duration // age from which another host's room is forgotten; 0 is never
	MaxJobs  int           // most jobs at once
}

// memory is the outcome of a job that ended.
type memory struct {
	outcome work.Outcome
	until   time.Time
}

// Model is the jobs of one service that a host coordinates.
type Model struct {
	limits   Limits
	self     string
	jobs     map[string]*job
	queue    []*job // with waiting tasks, by latest start
	callers  map[string]string
	rooms    map[string]*room
	hosts    []string // with room, sorted
	times    map[string]times
	finished map[string]memory
	demands  map[string]demand // by route
}

// New returns a scheduler without jobs; self names the own pool.
func New(self string, l Limits) *Model {
	return &Model{
		limits:   l,
		self:     self,
		jobs:     map[string]*job{},
		callers:  map[string]string{},
		rooms:    map[string]*room{},
		times:    map[string]times{},
		finished: map[string]memory{},
		demands:  map[string]demand{},
	}
}

// Update takes one message and returns what has to be done about it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case SubmitMsg:
		return m.submit(now, msg)
	case DropMsg:
		return m.drop(msg)
	case WithdrawMsg:
		return m.withdraw(now, msg)
	case CancelMsg:
		return m.cancel(now, msg)
	case RoomMsg:
		m.setRoom(msg.Host, newRoom(now, msg.Room))
		return m.dispatch(now)
	case GoneMsg:
		m.dropRoom(msg.Host)
		return nil
	case EndMsg:
		return append(m.end(now, msg), m.dispatch(now)...)
	case StallMsg:
		return m.stall(now)
	case TickMsg:
		m.forget(now)
		return append(m.expire(now), m.dispatch(now)...)
	}
	return nil
}

// Jobs returns how many jobs have not ended.
func (m *Model) Jobs() int { return len(m.jobs) }

// Queued returns how many jobs have tasks that wait.
func (m *Model) Queued() int { return len(m.queue) }

// Idle reports whether nothing is kept that time changes.
func (m *Model) Idle() bool { return len(m.jobs) == 0 && len(m.finished) == 0 }

// Waiting returns how many jobs of a route have not begun.
func (m *Model) Waiting(route string) int {
	n := 0
	for _, j := range m.queue {
		if j.Route == route && !j.began {
			n++
		}
	}
	return n
}

// State returns what is known of a job.
func (m *Model) State(id string) (state string, ok bool) {
	if j := m.jobs[id]; j != nil {
		if j.began {
			return "running", true
		}
		return "queued", true
	}
	if f, ok := m.finished[id]; ok {
		return string(f.outcome.State), true
	}
	return "", false
}

func (m *Model) submit(now time.Time, msg SubmitMsg) []Cmd {
	id := msg.Job.ID
	if f, ok := m.finished[id]; ok {
		return []Cmd{AnswerCmd{
			Caller:  msg.Caller,
			ID:      id,
			Outcome: f.outcome,
		}}
	}
	if j := m.jobs[id]; j != nil {
		j.callers = append(j.callers, msg.Caller)
		j.remote = j.remote || msg.Remote
		m.callers[msg.Caller] = id
		return nil
	}
	if msg.Again {
		// An earlier process of this host may have started tasks of it, or they are
		// being stopped; a start now could meet them.
		return []Cmd{AnswerCmd{
			Caller: msg.Caller,
			ID:     id,
			Outcome: work.Outcome{
				State:  work.Broken,
				Reason: core.ReasonLink,
			},
		}}
	}
	j := newJob(now, msg.Job, m.predict(msg.Job), m.limits.Useful)
	j.callers, j.remote = []string{msg.Caller}, msg.Remote
	if reason := m.hopeless(now, j); reason != "" {
		return m.refuse(now, j, reason)
	}
	m.jobs[id] = j
	m.callers[msg.Caller] = id
	m.enqueue(j)
	return m.admit(now, j)
}

func (m *Model) predict(w work.Job) []time.Duration {
	expect := make([]time.Duration, 0, len(w.Steps))
	for _, s := range w.Steps {
		expect = append(expect, m.times[w.Route].expect(s.Estimate))
	}
	return expect
}

// enqueue puts a job at its place by latest start.
func (m *Model) enqueue(j *job) {
	if slices.Contains(m.queue, j) {
		return
	}
	at, _ := slices.BinarySearchFunc(m.queue, j, compare)
	m.queue = slices.Insert(m.queue, at, j)
}

func compare(a, b *job) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(a.latest.Compare(b.latest), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID))
}

// dispatch places what waits, in order, wherever it fits.
func (m *Model) dispatch(now time.Time) []Cmd {
	m.forgetRooms(now)
	var cmds []Cmd
	var none full
	for _, j := range m.queue {
		if j.late && !j.began && !m.spare(j.largest()) {
			break
		}
		if j.undecided {
			if !m.fits(now, j) {
				continue
			}
			m.accept(now, j)
		}
		for _, t := range j.tasks {
			if !j.due(now, t) {
				continue
			}
			order := j.order(t)
			if none.covers(order) {
				continue
			}
			if cmd, ok := m.place(j, t, order); ok {
				cmds = append(cmds, cmd)
			} else {
				none.add(order)
			}
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool { return !j.waits() })
	return cmds
}

// spare reports whether enough room is free for jobs that are late already, so
// that they don't make the next ones late too.
func (m *Model) spare(size work.Size) bool {
	return float64(m.usable(size)) >= m.limits.Spare*float64(m.TotalCPU())
}

// place sends a task to the own pool when it fits there, or else to the host
// with the most free room.
func (m *Model) place(j *job, t *task, order work.Task) (Cmd, bool) {
	host, slot := m.choose(order)
	if slot < 0 {
		return nil, false
	}
	m.rooms[host].take(slot, order.Size)
	j.set(t, placed)
	t.host = host
	j.began = true
	return RunCmd{
		Host: host,
		Task: order,
	}, true
}

func (m *Model) choose(order work.Task) (host string, slot int) {
	if own := m.rooms[m.self]; own != nil {
		if slot := own.best(order); slot >= 0 && !own.slots[slot].Slow {
			return m.self, slot
		}
	}
	slot = -1
	var most int
	slow := false
	for _, name := range m.hosts {
		r := m.rooms[name]
		s := r.best(order)
		if s < 0 {
			continue
		}
		better := slot < 0 || (slow && !r.slots[s].Slow) || (slow == r.slots[s].Slow && r.free > most)
		if better {
			host, slot, most, slow = name, s, r.free, r.slots[s].Slow
		}
	}
	return host, slot
}

func (m *Model) setRoom(host string, r *room) {
	if m.rooms[host] == nil {
		at, _ := slices.BinarySearch(m.hosts, host)
		m.hosts = slices.Insert(m.hosts, at, host)
	}
	m.rooms[host] = r
}
