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

// Limits bounds the queue, the retries and the ejections of a Model.
type Limits struct {
	MaxWaiting       int     // maximum number of tasks in the queue
	RetryRatio       float64 // retries added to the budget per first attempt
	MaxRetryBudget   float64 // maximum number of retries in the budget
	Health           health.Limits
	RankDelayPerTask time.Duration // added to the rank of a job for each of its tasks
}

// jobState is the state of a job until all its tasks are settled.
type jobState struct {
	need      Size
	team      string
	tasks     int
	deadline  time.Time
	unsettled int  // tasks that are waiting or sent
	started   bool // a task of the job was sent
	revoked   bool // no further task may start
}

// Model is the state of one service at one host.
type Model struct {
	policy          Policy
	limits          Limits
	rng             *rand.Rand
	queue           *queue.Queue
	budget          *retry.Budget
	servers         []*backend
	byID            map[string]*backend
	jobs            map[ticket.ID]*jobState
	unsettledByTeam map[string]int
	quotas          map[string]int
	refusedForQuota map[string]int // tasks by team, since the last call of Demand
	queues          int            // hosts that queue for the service
	connectionShare float64        // this host's share of each server's connections
	outstanding     int
	slotsCached     bool // usableSlots is valid for the current Update
	usableSlots     int
	sendTimes       *sendTimes
	arrivals        arrivals
}

// New returns a Model without servers. rng breaks ties between servers and must
// be seeded.
func New(policy Policy, limits Limits, rng *rand.Rand) *Model {
	return &Model{
		policy:          policy,
		limits:          limits,
		rng:             rng,
		queue:           queue.New(limits.RankDelayPerTask),
		budget:          retry.New(limits.RetryRatio, limits.MaxRetryBudget),
		byID:            map[string]*backend{},
		jobs:            map[ticket.ID]*jobState{},
		unsettledByTeam: map[string]int{},
		refusedForQuota: map[string]int{},
		sendTimes:       newSendTimes(),
		queues:          1,
		connectionShare: 1,
	}
}

// Waiting returns the number of tasks in the queue.
func (m *Model) Waiting() int { return m.queue.Len() }

// Outstanding returns the number of tasks that were sent and have no result yet.
func (m *Model) Outstanding() int { return m.outstanding }

// Servers returns the number of all servers and of those that accept tasks.
func (m *Model) Servers(now time.Time) (total, usable int) {
	for _, b := range m.servers {
		if !b.closed() && b.health.State(now) == health.Up {
			usable++
		}
	}
	return len(m.servers), usable
}

// Demand returns the number of tasks per team that are waiting or sent, plus
// those refused for the team's quota since the last call.
func (m *Model) Demand() map[string]int {
	demand := maps.Clone(m.unsettledByTeam)
	for team, n := range m.refusedForQuota {
		demand[team] += n
	}
	clear(m.refusedForQuota)
	return demand
}

// Update handles one message and returns the commands that result from it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	var cmds []Cmd
	m.slotsCached = false
	switch msg := msg.(type) {
	case ServersMsg:
		m.setServers(msg.Servers)
	case SharingMsg:
		m.queues, m.connectionShare = max(1, msg.Queues), msg.ConnectionShare
	case WeightsMsg:
		m.queue.SetWeights(msg.Weights)
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
	return append(cmds, m.startTasks(now)...)
}

// setServers replaces the list of servers. The health of a server is retained only if
// its ID stays the same.
func (m *Model) setServers(list []Server) {
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
		need:      msg.Need,
		team:      msg.Job.Team,
		tasks:     msg.Job.Tasks,
		deadline:  msg.Deadline,
		unsettled: msg.Job.Tasks,
	}
	m.unsettledByTeam[msg.Job.Team] += msg.Job.Tasks
	m.queue.Push(msg.Job)
	m.budget.Deposit(msg.Job.Tasks)
	return []Cmd{AcceptCmd{ID: msg.Job.ID}}
}

// refusal returns the reason to refuse a job, and the delay after which the
// caller may retry. The reason is empty if the job can be accepted.
func (m *Model) refusal(now time.Time, msg EnqueueMsg) (core.Reason, time.Duration) {
	if !slices.ContainsFunc(m.servers, func(b *backend) bool { return msg.Need.Fits(b.Size) }) {
		return core.ReasonFit, 0
	}
	if m.allEvacuated() {
		return core.ReasonEvacuated, evacuatedRetryAfter
	}
	if m.queue.Len()+msg.Job.Tasks > m.limits.MaxWaiting {
		return core.ReasonOverload, m.estimateWait(now, m.queue.Len())
	}
	quota, limited := m.quotas[msg.Job.Team]
	if limited && m.unsettledByTeam[msg.Job.Team]+msg.Job.Tasks > quota {
		m.refusedForQuota[msg.Job.Team] += msg.Job.Tasks
		return core.ReasonQuota, max(m.sendTimes.mean(), minRetryAfter)
	}
	wait := m.withOvertaking(now, msg.Job.Tasks, m.estimateWait(now, m.queue.TasksAhead(msg.Job)+msg.Job.Tasks))
	wait += m.sendTimes.longestOf(msg.Job.Tasks)
	if spare := msg.Deadline.Sub(now); wait > spare {
		return core.ReasonWait, wait - spare
	}
	return "", 0
}

// minRetryAfter prevents callers whose job was refused from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// estimateWait estimates the time until n tasks have been started.
func (m *Model) estimateWait(now time.Time, n int) time.Duration {
	atOnce := m.slotShare(now)
	return time.Duration(float64(m.sendTimes.mean()) * float64(n) / float64(atOnce))
}

// withOvertaking extends the estimated wait of a job by the run time of smaller
// jobs that arrive later but rank ahead of it. They can do so until the clock
// reaches the job's rank.
func (m *Model) withOvertaking(now time.Time, tasks int, wait time.Duration) time.Duration {
	rankDelay := time.Duration(tasks) * m.limits.RankDelayPerTask
	busy := m.arrivals.rateAhead(now, tasks) * m.sendTimes.mean().Seconds() / float64(m.slotShare(now))
	until := rankDelay
	if busy < 1 {
		until = min(rankDelay, time.Duration(float64(wait)/(1-busy)))
	}
	return wait + time.Duration(busy*float64(until))
}

// slotShare returns this host's share of the usable slots.
func (m *Model) slotShare(now time.Time) int {
	return max(1, m.slots(now)/m.queues)
}

// slots returns the number of slots of servers that accept tasks, counted once
// per Update.
func (m *Model) slots(now time.Time) int {
	if m.slotsCached {
		return m.usableSlots
	}
	m.slotsCached, m.usableSlots = true, 0
	for _, b := range m.servers {
		if !b.closed() && b.health.State(now) == health.Up {
			m.usableSlots += b.Slots
		}
	}
	return m.usableSlots
}

func (m *Model) done(now time.Time, msg DoneMsg) []Cmd {
	var cmds []Cmd
	if msg.Result != Dropped {
		m.recordResult(now, msg, &cmds)
	} else if b := m.byID[msg.Server]; b != nil {
		b.health = b.health.WithInconclusive()
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
	if msg.Result.started() && !msg.Idempotent {
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

func (m *Model) recordResult(now time.Time, msg DoneMsg, cmds *[]Cmd) {
	b := m.byID[msg.Server]
	if b == nil {
		return
	}
	before := b.health.State(now)
	m.slotsCached = false
	switch msg.Result {
	case Answered:
		b.health = b.health.WithSuccess()
		m.sendTimes.record(msg.Took)
	case NotSent, Interrupted, Failed, ErrorAnswer:
		b.health = b.health.WithFailure(now)
	case Refused, Aborted, Dropped:
		b.health = b.health.WithInconclusive()
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
	job.unsettled -= n
	m.unsettledByTeam[job.team] -= n
	if m.unsettledByTeam[job.team] == 0 {
		delete(m.unsettledByTeam, job.team)
	}
	if job.unsettled == 0 {
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

// startTasks starts tasks until the policy or the servers accept no more.
func (m *Model) startTasks(now time.Time) []Cmd {
	if m.allEvacuated() {
		return m.refuseWaiting()
	}
	var cmds []Cmd
	var skipped []queue.Ref
	limit := maxOutstanding(m.policy, m.slots(now), m.queues)
	for m.outstanding < limit {
		id, ok := m.queue.Peek()
		if !ok {
			break
		}
		job := m.jobs[id]
		if !job.started && m.missesDeadline(now, job) {
			cmds = append(cmds, m.refuseLate(id))
			continue
		}
		need := job.need
		b := m.pickServer(now, need)
		if b == nil && (need == Size{} || len(skipped) >= maxSkipped) {
			break
		}
		ref, _ := m.queue.Next()
		if b == nil {
			// A task that currently fits no server must not block the tasks behind it.
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

// maxSkipped limits how many tasks that currently fit no server are skipped.
const maxSkipped = 8

// missesDeadline reports whether a job at the head of the queue is expected to
// end after its deadline.
func (m *Model) missesDeadline(now time.Time, job *jobState) bool {
	needed := m.estimateWait(now, job.tasks) + m.sendTimes.longestOf(job.tasks)
	return now.Add(needed).After(job.deadline)
}

// refuseLate refuses a job before any of its tasks was sent, so that no server
// works on an answer that would come too late.
func (m *Model) refuseLate(id ticket.ID) Cmd {
	m.revoke(id)
	return RefuseCmd{
		ID:         id,
		Reason:     core.ReasonWait,
		RetryAfter: m.sendTimes.mean(),
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

// connections returns this host's share of the connections that a server accepts.
func (m *Model) connections(b *backend) int {
	return max(1, int(m.connectionShare*float64(b.Connections)))
}

// pickServer returns a server that accepts a task of the given size, or nil. Ties
// are broken at random because otherwise all hosts would choose the same server.
func (m *Model) pickServer(now time.Time, need Size) *backend {
	var best *backend
	ties := 0
	_, random := m.policy.(Random)
	for _, b := range m.servers {
		if !b.accepts(now, m.connections(b)) || !need.Fits(b.Size) {
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
