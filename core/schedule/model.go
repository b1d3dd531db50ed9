package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/work"
)

// Limits sets when jobs are refused, and how long state is retained.
type Limits struct {
	AdmitWaitFactor     float64       // maximum estimated wait, as a multiple of a job's slack, for admission on arrival
	RefuseWaitFactor    float64       // estimated wait, as a multiple of its slack, above which a new job is refused at once
	DemoteStartFactor   float64       // expected start after its arrival, as a multiple of its slack, from which an admitted job that has not started is demoted
	UsefulLatencyFactor float64       // latency, in multiples of the objective, up to which a late answer is of use
	DemotedWaitFactor   float64       // estimated wait of a demoted job, as a multiple of its remaining useful time, above which it is refused
	DemotedFreeFraction float64       // fraction of the total capacity that must be free before a demoted job starts
	ProvisionalTimeout  time.Duration // how long a job may stay provisional before it is demoted, and before a demoted job may be refused
	PlacementRetryDelay time.Duration // delay before a task that a pool had no capacity for is tried again
	OutcomeRetention    time.Duration // how long outcomes of finished jobs are retained for resubmissions
	CapacityTTL         time.Duration // age at which another host's capacity report is dropped; 0 for never
	MaxConfirmAge       time.Duration // time since a job's caller was last known to wait after which none of its tasks is started; 0 for no limit
	MaxUnconfirmed      time.Duration // time since a job's caller was last known to wait by which its runs have ended, also those in other hosts' pools; 0 for no limit
	MaxJobs             int           // maximum number of jobs
	AnnounceAge         time.Duration // time since its arrival from which the announcement of an unfinished job is repeated, and without an answer after which another home counts as unreachable
	ShortJob            time.Duration // duration below which the history of an attempt may be guessed; 0 to start jobs that weren't announced
	AnnouncementTTL     time.Duration // how long another home's announcement of a job counts; 0 disables announcements
	MajorityWait        time.Duration // time without a majority after which jobs don't wait for one; 0 if none is needed
	MaxLease            time.Duration // longest lease of a run whose end is unknown
	StopTimeout         time.Duration // longest time that backend servers take to stop a run after that
}

// finishedJob is the outcome of a job that has ended.
type finishedJob struct {
	queue     string
	outcome   work.Outcome
	expiresAt time.Time
}

// retention is until when an outcome is retained.
type retention struct {
	id        string // of the job
	expiresAt time.Time
}

// Model is the scheduler of the jobs of one service that this host coordinates.
type Model struct {
	limits   Limits
	self     string                 // host of the own pool
	jobs     map[string]*job        // by ID
	queue    []*job                 // jobs with waiting tasks, in order of compareJobs
	callers  map[string]string      // job ID by caller
	pools    map[string]*poolView   // by host
	hosts    []string               // keys of pools, sorted
	runTimes map[string]runTimes    // by route
	finished map[string]finishedJob // by job ID
	retained []retention            // of finished, oldest first
	demands  map[string]demand      // by route

	startedAt     time.Time               // of the first message
	announcements map[string]announcement // of other homes, by job ID
	expiredAt     time.Time               // when announcements that were not renewed were last deleted
	ending        map[string]*endingJob   // by job ID
	lent          map[string]*lentJob     // jobs of other homes with runs in the own pool, by ID
	suspects      suspects
	evacuated     EvacuatedMsg
	borrows       bool              // another host has reported capacity
	submissions   int               // number of jobs submitted so far
	homes         map[string]string // failure domains of the other homes
	homesByDomain [][]string        // the other homes of each failure domain
	homesKnown    bool              // homes was set

	unansweredSince map[string]time.Time // when the first announcement was made that a home has not answered, by home
	heardAt         map[string]time.Time // when a home became one, or last answered, by home
	member          bool                 // this host is a home
	memberSince     time.Time
	domain          string          // own failure domain
	votes           int             // of the hosts that this one hears in it
	votedAt         time.Time       // when these were last counted, with this host a home
	needed          int             // votes that a home must have; 0 if unknown
	all             int             // votes of all hosts
	homeVotes       map[string]int  // votes in the latest answers of other homes, by home
	noMajoritySince time.Time       // since when this home can't have enough votes; zero if it can
	notAllSince     time.Time       // since when it can't have those of all hosts; zero if it can
	unheard         map[string]bool // homes whose announcements this one may not know
	unheardUntil    time.Time       // after which those made before don't count any more
}

// New returns a scheduler without jobs; self is the host of the own pool.
func New(self string, l Limits) *Model {
	return &Model{
		limits:   l,
		self:     self,
		jobs:     map[string]*job{},
		callers:  map[string]string{},
		pools:    map[string]*poolView{},
		runTimes: map[string]runTimes{},
		finished: map[string]finishedJob{},
		demands:  map[string]demand{},

		announcements: map[string]announcement{},
		ending:        map[string]*endingJob{},
		lent:          map[string]*lentJob{},
		suspects:      newSuspects(),
		homes:         map[string]string{},
		unheard:       map[string]bool{},

		unansweredSince: map[string]time.Time{},
		heardAt:         map[string]time.Time{},
		homeVotes:       map[string]int{},
	}
}

// Update handles a message and returns the commands to execute.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	switch msg := msg.(type) {
	case SubmitMsg:
		return m.submit(now, msg)
	case ConfirmMsg:
		return m.confirm(now, msg)
	case AnnouncedMsg:
		return m.recordAnnouncements(now, msg)
	case AcknowledgedMsg:
		return m.acknowledge(now, msg)
	case HomesMsg:
		return m.setHomes(now, msg)
	case CallerGoneMsg:
		return m.callerGone(msg)
	case WithdrawMsg:
		return m.withdraw(now, msg)
	case CancelMsg:
		return m.cancel(now, msg)
	case CapacityMsg:
		m.borrows = m.borrows || msg.Host != m.self && msg.Capacity.TotalCPU > 0
		m.setPool(msg.Host, newPoolView(now, msg))
		return m.dispatch(now)
	case EvacuatedMsg:
		m.evacuated = msg
		return m.expire(now)
	case PoolGoneMsg:
		m.dropPool(msg.Host)
		return nil
	case EndMsg:
		return append(m.handleEnd(now, msg), m.dispatch(now)...)
	case LossMsg:
		return append(m.recordLoss(now, msg), m.dispatch(now)...)
	case LendMsg:
		m.recordLend(now, msg)
	case LentEndMsg:
		m.recordLentEnd(now, msg)
	case StallMsg:
		// It may have missed what homes announced that have left since, as a new home has.
		m.memberSince = now
		return append(m.giveUpRemote(now), m.ask(now)...)
	case TickMsg:
		m.expireOutcomes(now)
		m.expireAnnouncements(now)
		m.expireLent(now)
		cmds := m.expireEnding(now)
		return append(append(cmds, m.expire(now)...), m.dispatch(now)...)
	}
	return nil
}

// Jobs returns the number of jobs that have not ended.
func (m *Model) Jobs() int { return len(m.jobs) }

// Queued returns the number of jobs with waiting tasks.
func (m *Model) Queued() int { return len(m.queue) }

// Idle reports whether there is no state that a TickMsg could change.
func (m *Model) Idle() bool {
	return len(m.jobs) == 0 && len(m.finished) == 0 && len(m.ending) == 0
}

// Unfinished returns the sorted IDs of the jobs that have not ended.
func (m *Model) Unfinished() []string { return slices.Sorted(maps.Keys(m.jobs)) }

// Backlog returns the millicores of all waiting tasks.
func (m *Model) Backlog() int {
	sum := 0
	for _, j := range m.queue {
		sum += j.backlog
	}
	return sum
}

// Waiting returns the number of jobs of a route of which no task was started.
func (m *Model) Waiting(route string) int {
	n := 0
	for _, j := range m.queue {
		if j.Route == route && !j.started {
			n++
		}
	}
	return n
}

// State returns the state of a queue's job, if this host has the job or its outcome.
func (m *Model) State(queue, id string) (state string, ok bool) {
	if j := m.jobs[id]; j != nil && sameQueue(j.Queue, queue) {
		if j.started {
			return StateRunning, true
		}
		return StateQueued, true
	}
	if f, ok := m.finished[id]; ok && sameQueue(f.queue, queue) {
		return string(f.outcome.State), true
	}
	return "", false
}

// States of a job that hasn't ended.
const (
	StateQueued  = "queued"
	StateRunning = "running"
)

// LaterState returns that of two states of one job which is more recent, as far as they tell: a
// job that hasn't ended may have been submitted again since it did elsewhere. Unknown is "".
func LaterState(a, b string) string {
	if stateRank(b) > stateRank(a) {
		return b
	}
	return a
}

func stateRank(state string) int {
	switch state {
	case "":
		return 0
	case StateQueued:
		return 2
	case StateRunning:
		return 3
	}
	return 1
}

// isForeign reports whether a job has the ID of another queue's job. Backend servers know tasks
// by that ID alone.
func (m *Model) isForeign(w work.Job) bool {
	if j := m.jobs[w.ID]; j != nil {
		return !sameQueue(j.Queue, w.Queue)
	}
	f, ok := m.finished[w.ID]
	return ok && !sameQueue(f.queue, w.Queue)
}

// foreignOutcome returns the outcome of a job that isn't started as another queue's job has its
// ID. Unless it is its caller's first attempt, it may have been started elsewhere.
func foreignOutcome(w work.Job) work.Outcome {
	outcome := work.Outcome{
		State:      work.Refused,
		Reason:     core.ReasonMismatch,
		RetryAfter: foreignRetryAfter,
	}
	if !w.First {
		outcome.State = work.Broken
	}
	return outcome
}

// foreignRetryAfter is the delay that a caller is told to wait for the end of another queue's job.
const foreignRetryAfter = time.Second

// sameQueue reports whether two queues are the same as far as is known. Hosts of an older
// version don't name them.
func sameQueue(a, b string) bool { return a == b || a == "" || b == "" }

func (m *Model) submit(now time.Time, msg SubmitMsg) []Cmd {
	id := msg.Job.ID
	if m.isForeign(msg.Job) {
		return []Cmd{AnswerCmd{
			Caller:  msg.Caller,
			ID:      id,
			Outcome: foreignOutcome(msg.Job),
		}}
	}
	if f, ok := m.finished[id]; ok {
		return []Cmd{AnswerCmd{
			Caller:  msg.Caller,
			ID:      id,
			Outcome: f.outcome,
		}}
	}
	if msg.Canceled {
		m.retain(now, msg.Job.Queue, id, canceledOutcome())
		return []Cmd{AnswerCmd{
			Caller:  msg.Caller,
			ID:      id,
			Outcome: canceledOutcome(),
		}}
	}
	if m.suspects.culprit(id) != "" {
		return []Cmd{AnswerCmd{
			Caller:  msg.Caller,
			ID:      id,
			Outcome: crashesOutcome(),
		}}
	}
	if j := m.jobs[id]; j != nil {
		j.callers = append(j.callers, msg.Caller)
		j.remote = j.remote || msg.Remote
		m.callers[msg.Caller] = id
		if msg.ConfirmedAt.After(j.waitedAt) {
			j.waitedAt = msg.ConfirmedAt
		}
		return m.reconfirm(now, j)
	}
	if m.deferSubmission(msg) {
		return nil
	}
	if outcome, ok := m.withoutStart(now, msg); ok {
		return []Cmd{AnswerCmd{
			Caller:  msg.Caller,
			ID:      id,
			Outcome: outcome,
		}}
	}
	j := newJob(now, msg.Job, m.predict(msg.Job), m.limits.UsefulLatencyFactor)
	m.submissions++
	j.submission = m.submissions
	j.callers, j.remote, j.waitedAt = []string{msg.Caller}, msg.Remote, msg.ConfirmedAt
	j.confirmedAt = m.confirmation(now, j)
	j.wasElsewhere = msg.AbsentAt != ""
	if reason := m.refusalReason(now, j); reason != "" {
		return m.refuse(now, j, reason)
	}
	if outcome, ok := m.withoutMajority(now, j); ok {
		return m.finish(now, j, outcome)
	}
	if msg.Overloaded {
		return m.finish(now, j, OverloadOutcome())
	}
	m.jobs[id] = j
	m.callers[msg.Caller] = id
	m.enqueue(j)
	cmds := m.admit(now, j)
	if m.jobs[id] == j && m.limits.ShortJob > 0 {
		cmds = append(cmds, m.announceNow(now, j))
	}
	return cmds
}

func (m *Model) predict(w work.Job) []time.Duration {
	predicted := make([]time.Duration, 0, len(w.Steps))
	for _, s := range w.Steps {
		predicted = append(predicted, m.runTimes[w.Route].predicted(s.Estimate))
	}
	return predicted
}

// enqueue inserts a job into the queue, unless it is queued already. Jobs are ordered by
// latest start, and demoted jobs are behind all others.
func (m *Model) enqueue(j *job) {
	if slices.Contains(m.queue, j) {
		return
	}
	index, _ := slices.BinarySearchFunc(m.queue, j, compareJobs)
	m.queue = slices.Insert(m.queue, index, j)
}

func compareJobs(a, b *job) int {
	if a.demoted != b.demoted {
		if a.demoted {
			return 1
		}
		return -1
	}
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID))
}

// dispatch places the waiting tasks in queue order, as far as there is free capacity.
func (m *Model) dispatch(now time.Time) []Cmd {
	m.dropStalePools(now)
	var cmds []Cmd
	var unplaced unplaceable
	for _, j := range m.queue {
		if !m.isEligible(now, j) {
			continue
		}
		if j.provisional {
			if !m.fits(now, j) {
				continue
			}
			m.accept(now, j)
		}
		if m.awaitsAcknowledgement(now, j) {
			continue
		}
		if j.demoted && !j.started && !m.hasSpare(j.largest()) {
			break
		}
		for _, t := range j.tasks {
			if !j.runnable(now, t) {
				continue
			}
			order := j.order(t)
			if m.suspects.byJob[j.ID] > 0 {
				suspect, blocked := m.suspects.suspected(order.Name())
				if blocked {
					continue
				}
				order.Suspect = suspect
			}
			if unplaced.covers(order) {
				continue
			}
			if cmd, ok := m.place(j, t, order); ok {
				cmds = append(cmds, cmd)
			} else {
				unplaced.add(order)
			}
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool { return !j.hasWaiting() })
	return cmds
}

// hasSpare reports whether enough capacity is free to start demoted jobs without making
// the next ones late too.
func (m *Model) hasSpare(size work.Size) bool {
	return float64(m.usable(size)) >= m.limits.DemotedFreeFraction*float64(m.TotalCPU())
}

// place sends a task to the own pool if it fits there, and otherwise to the host with
// the most free capacity. Slow slots are used last, also those of the own pool.
func (m *Model) place(j *job, t *task, order work.Task) (Cmd, bool) {
	host, slot := m.choosePool(order)
	if slot < 0 {
		return nil, false
	}
	m.pools[host].reserve(slot, order)
	j.set(t, placed)
	t.host = host
	j.started = true
	return RunCmd{
		Host: host,
		Task: order,
	}, true
}

func (m *Model) choosePool(order work.Task) (host string, slot int) {
	if own := m.pools[m.self]; own != nil {
		if slot := own.bestSlot(order); slot >= 0 && penalty(own.slots[slot], order) == 0 {
			return m.self, slot
		}
	}
	slot = -1
	var mostFree, least int
	for _, name := range m.hosts {
		p := m.pools[name]
		s := p.bestSlot(order)
		if s < 0 {
			continue
		}
		cost := penalty(p.slots[s], order)
		better := slot < 0 || cost < least || (cost == least && p.free > mostFree)
		if better {
			host, slot, mostFree, least = name, s, p.free, cost
		}
	}
	return host, slot
}

func (m *Model) setPool(host string, p *poolView) {
	if m.pools[host] == nil {
		index, _ := slices.BinarySearch(m.hosts, host)
		m.hosts = slices.Insert(m.hosts, index, host)
	}
	m.pools[host] = p
}
