package place

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/health"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/retry"
	"rosemarywalk/core/ticket"
)

// Limits bounds what one Model takes on.
type Limits struct {
	MaxWaiting int     // tasks that may wait
	RetryRatio float64 // retries earned by each first try
	RetryMost  float64 // retries that may be saved up
	Health     health.Limits
	PerTask    time.Duration // how much later each task ranks its job
}

// jobState is what the Model keeps of a job until all its tasks are settled.
type jobState struct {
	need     Size
	team     string
	tasks    int
	deadline time.Time
	open     int  // tasks that are waiting or sent
	started  bool // one of its tasks was sent
	revoked  bool // no task of it may start any more
}

// Model is the state of one service at one host.
type Model struct {
	policy      Policy
	limits      Limits
	rng         *rand.Rand
	queue       *queue.Queue
	budget      *retry.Budget
	servers     []*backend
	byID        map[string]*backend
	jobs        map[ticket.ID]*jobState
	teams       map[string]int // open tasks by team
	quotas      map[string]int
	turned      map[string]int // tasks refused for a quota, by team
	queues      int
	part        float64
	outstanding int
	counted     bool // whether upSlots is of this Update
	upSlots     int
	times       *times
	arrivals    arrivals
}

// New returns a Model without servers; rng breaks ties and must be seeded.
func New(policy Policy, limits Limits, rng *rand.Rand) *Model {
	return &Model{
		policy: policy,
		limits: limits,
		rng:    rng,
		queue:  queue.New(limits.PerTask),
		budget: retry.New(limits.RetryRatio, limits.RetryMost),
		byID:   map[string]*backend{},
		jobs:   map[ticket.ID]*jobState{},
		teams:  map[string]int{},
		turned: map[string]int{},
		times:  newTimes(),
		queues: 1,
		part:   1,
	}
}

// Waiting returns how many tasks wait in the queue.
func (m *Model) Waiting() int { return m.queue.Len() }

// Outstanding returns how many tasks are sent and not settled.
func (m *Model) Outstanding() int { return m.outstanding }

// Servers returns the servers known, with the count of those that take work.
func (m *Model) Servers(now time.Time) (known, usable int) {
	for _, b := range m.servers {
		if !b.Leaving && b.health.State(now) == health.Up {
			usable++
		}
	}
	return len(m.servers), usable
}

// Demand returns the tasks of each team that are here, or were refused for
// its quota since the last call.
func (m *Model) Demand() map[string]int {
	demand := maps.Clone(m.teams)
	for team, n := range m.turned {
		demand[team] += n
	}
	clear(m.turned)
	return demand
}

// Update takes one message and returns what has to be done about it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	var cmds []Cmd
	m.counted = false
	switch msg := msg.(type) {
	case ServersMsg:
		m.replace(msg.Servers)
	case FleetMsg:
		m.queues, m.part = max(1, msg.Queues), msg.Part
	case WeightsMsg:
		m.queue.Weigh(msg.Weights)
	case QuotaMsg:
		m.quotas = msg.Quotas
	case EnqueueMsg:
		cmds = m.enqueue(now, msg)
	case DoneMsg:
		cmds = m.done(now, msg)
	case RevokeMsg:
		m.revoke(msg.ID)
	case TickMsg:
	}
	return append(cmds, m.startAll(now)...)
}

// replace takes the platform's list; health survives only under the same ID.
func (m *Model) replace(list []Server) {
	byID := make(map[string]*backend, len(list))
	servers := make([]*backend, 0, len(list))
	for _, s := range list {
		b := m.byID[s.ID]
		if b == nil {
			b = &backend{health: health.New(m.limits.Health)}
		}
		b.Server = s
		byID[s.ID] = b
		servers = append(servers, b)
	}
	slices.SortFunc(servers, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	m.byID, m.servers = byID, servers
}

func (m *Model) enqueue(now time.Time, msg EnqueueMsg) []Cmd {
	m.arrivals.add(now, msg.Job.Tasks)
	if reason, after := m.refusal(now, msg); reason != "" {
		return []Cmd{RefuseCmd{
			ID:         msg.Job.ID,
			Reason:     reason,
			RetryAfter: after,
		}}
	}
	m.jobs[msg.Job.ID] = &jobState{
		need:     msg.Need,
		team:     msg.Job.Team,
		tasks:    msg.Job.Tasks,
		deadline: msg.Deadline,
		open:     msg.Job.Tasks,
	}
	m.teams[msg.Job.Team] += msg.Job.Tasks
	m.queue.Push(msg.Job)
	m.budget.Deposit(msg.Job.Tasks)
	return []Cmd{AcceptCmd{ID: msg.Job.ID}}
}

// refusal returns why a job can't be taken, and when to come back.
func (m *Model) refusal(now time.Time, msg EnqueueMsg) (core.Reason, time.Duration) {
	if !slices.ContainsFunc(m.servers, func(b *backend) bool { return msg.Need.Fits(b.Size) }) {
		return core.ReasonFit, 0
	}
	if m.queue.Len()+msg.Job.Tasks > m.limits.MaxWaiting {
		return core.ReasonOverload, m.wait(now, m.queue.Len())
	}
	quota, limited := m.quotas[msg.Job.Team]
	if limited && m.teams[msg.Job.Team]+msg.Job.Tasks > quota {
		m.turned[msg.Job.Team] += msg.Job.Tasks
		return core.ReasonQuota, max(m.times.mean(), retryAfterLeast)
	}
	wait := m.passed(now, msg.Job.Tasks, m.wait(now, m.queue.Ahead(msg.Job)+msg.Job.Tasks))
	wait += m.times.longest(msg.Job.Tasks)
	if spare := msg.Deadline.Sub(now); wait > spare {
		return core.ReasonWait, wait - spare
	}
	return "", 0
}

// retryAfterLeast keeps a refused caller from coming back at once.
const retryAfterLeast = 100 * time.Millisecond

// wait estimates how long it takes until n tasks were started.
func (m *Model) wait(now time.Time, n int) time.Duration {
	atOnce := m.share(now)
	return time.Duration(float64(m.times.mean()) * float64(n) / float64(atOnce))
}

// passed adds what smaller jobs take that arrive later and rank before a job.
// They do so for as long as the job's rank lies ahead of the clock.
func (m *Model) passed(now time.Time, tasks int, wait time.Duration) time.Duration {
	handicap := time.Duration(tasks) * m.limits.PerTask
	busy := m.arrivals.smaller(now, tasks) * m.times.mean().Seconds() / float64(m.share(now))
	until := handicap
	if busy < 1 {
		until = min(handicap, time.Duration(float64(wait)/(1-busy)))
	}
	return wait + time.Duration(busy*float64(until))
}

// share is this host's part of the slots that take work.
func (m *Model) share(now time.Time) int {
	return max(1, m.slots(now)/m.queues)
}

// slots counts the slots that take work, once for each Update.
func (m *Model) slots(now time.Time) int {
	if m.counted {
		return m.upSlots
	}
	m.counted, m.upSlots = true, 0
	for _, b := range m.servers {
		if !b.Leaving && b.health.State(now) == health.Up {
			m.upSlots += b.Slots
		}
	}
	return m.upSlots
}

func (m *Model) done(now time.Time, msg DoneMsg) []Cmd {
	var cmds []Cmd
	if msg.Result != Dropped {
		m.settleServer(now, msg, &cmds)
	} else if b := m.byID[msg.Server]; b != nil {
		b.health = b.health.WithDrop()
	}
	m.release(msg.Server)
	job := m.jobs[msg.Ref.ID]
	if job == nil {
		return cmds
	}
	if job.revoked || !msg.Result.unsettled() {
		m.settle(msg.Ref.ID, job, 1)
		return cmds
	}
	if msg.Result.started() && !msg.Again {
		m.settle(msg.Ref.ID, job, 1)
		return append(cmds, fail(msg, msg.Reason))
	}
	if !m.budget.Withdraw() {
		m.settle(msg.Ref.ID, job, 1)
		return append(cmds, fail(msg, core.ReasonBudget))
	}
	m.queue.Requeue(msg.Ref)
	return append(cmds, RetryCmd{
		Ref:    msg.Ref,
		Reason: msg.Reason,
	})
}

func fail(msg DoneMsg, reason core.Reason) Cmd {
	ran := core.RanNo
	if msg.Result.started() {
		ran = core.RanMaybe
	}
	if msg.Result == Failed {
		ran = core.RanYes
	}
	return FailCmd{
		Ref:    msg.Ref,
		Ran:    ran,
		Reason: reason,
	}
}

func (m *Model) settleServer(now time.Time, msg DoneMsg, cmds *[]Cmd) {
	b := m.byID[msg.Server]
	if b == nil {
		return
	}
	before := b.health.State(now)
	m.counted = false
	switch msg.Result {
	case Answered:
		b.health = b.health.WithSuccess()
		m.times.record(msg.Took)
	case Unreached, Broken, Failed, Errored:
		b.health = b.health.WithFailure(now)
	case Refused, Aborted, Dropped:
		b.health = b.health.WithDrop()
	}
	if before == health.Up && b.health.State(now) == health.Ejected {
		*cmds = append(*cmds, EjectCmd{
			Server: b.ID,
			Reason: msg.Reason,
		})
	}
}

func (m *Model) release(server string) {
	m.outstanding--
	if b := m.byID[server]; b != nil {
		b.outstanding--
	}
}

func (m *Model) settle(id ticket.ID, job *jobState, n int) {
	job.open -= n
	m.teams[job.team] -= n
	if m.teams[job.team] == 0 {
		delete(m.teams, job.team)
	}
	if job.open == 0 {
		delete(m.jobs, id)
		m.queue.Remove(id)
	}
}

func (m *Model) revoke(id ticket.ID) {
	removed := m.queue.Remove(id)
	if job := m.jobs[id]; job != nil {
		job.revoked = true
		m.settle(id, job, removed)
	}
}

// startAll starts tasks until the policy or the servers allow no more.
func (m *Model) startAll(now time.Time) []Cmd {
	var cmds []Cmd
	var skipped []queue.Ref
	most := limit(m.policy, m.slots(now), m.queues)
	for m.outstanding < most {
		id, ok := m.queue.Peek()
		if !ok {
			break
		}
		job := m.jobs[id]
		if !job.started && m.isLate(now, job) {
			cmds = append(cmds, m.giveUp(id))
			continue
		}
		need := job.need
		b := m.pick(now, need)
		if b == nil && (need == Size{} || len(skipped) >= skipMost) {
			break
		}
		ref, _ := m.queue.Next()
		if b == nil {
			// One task that fits nowhere just now must not stop all others.
			skipped = append(skipped, ref)
			continue
		}
		cmds = append(cmds, m.start(now, ref, b))
	}
	for _, ref := range slices.Backward(skipped) {
		m.queue.Requeue(ref)
	}
	return cmds
}

// skipMost bounds the search past tasks that can't be placed now.
const skipMost = 8

// isLate reports whether a job whose turn has come can't be done in time.
func (m *Model) isLate(now time.Time, job *jobState) bool {
	needed := m.wait(now, job.tasks) + m.times.longest(job.tasks)
	return now.Add(needed).After(job.deadline)
}

// giveUp refuses a job before any of its tasks was sent, so that no server
// works for an answer that comes too late.
func (m *Model) giveUp(id ticket.ID) Cmd {
	m.revoke(id)
	return RefuseCmd{
		ID:         id,
		Reason:     core.ReasonWait,
		RetryAfter: m.times.mean(),
	}
}

func (m *Model) start(now time.Time, ref queue.Ref, b *backend) Cmd {
	m.jobs[ref.ID].started = true
	m.outstanding++
	b.outstanding++
	b.health = b.health.WithStart(now)
	return StartCmd{
		Ref:     ref,
		Server:  b.ID,
		Address: b.Address,
	}
}

// connections is this host's part of what one server accepts.
func (m *Model) connections(b *backend) int { return max(1, int(m.part*float64(b.Connections))) }

// pick returns an open server that fits, or nil. Ties are broken at random,
// or else all hosts would choose the same server.
func (m *Model) pick(now time.Time, need Size) *backend {
	var best *backend
	ties := 0
	_, random := m.policy.(Random)
	for _, b := range m.servers {
		if !b.open(now, m.connections(b)) || !need.Fits(b.Size) {
			continue
		}
		switch {
		case best == nil || (!random && b.load() < best.load()):
			best, ties = b, 1
		case random || b.load() == best.load():
			ties++
			if m.rng.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}
