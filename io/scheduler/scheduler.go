package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/owner"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/io/clock"
	"rosemarywalk/io/late"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Config holds the dependencies and limits of a Scheduler.
type Config struct {
	Self     string // peer address
	Servers  Servers
	Peers    Peers
	Roster   *roster.Roster
	Pool     pool.Limits
	Jobs     schedule.Limits
	Answer   time.Duration // timeout of a command to a backend server
	Reattach time.Duration // how long work continues for a host whose link broke
	Stall    time.Duration // age at which a decision is outdated
	Stalls   *stall.Detector
	Meter    *late.Meter      // of this host's own delay
	Now      func() time.Time // of package clock if nil
	Tell     schedule.ReportIntervals
	Announce time.Duration // interval between announcements of older jobs
	Canceled time.Duration // how long requests to cancel jobs are kept
	Late     time.Duration // delay of this host's work from which it refuses new jobs; 0 for never
	Settle   time.Duration // time after startup before servers are taken over
	Complete time.Duration // the same while a host of the failure domain sends no heartbeats
	Counters *telemetry.Counters
	Log      logr.Logger
}

// Scheduler manages the shards of all services.
type Scheduler struct {
	config  Config
	started time.Time
	wakeUp  chan struct{} // signals new work to an idle host
	load    *load

	// Held, in order, while the shard for a job is looked up and passed the job; acquired
	// before all other locks.
	jobLocks [64]sync.Mutex

	// Held while the homes are passed to the shards, so that an earlier view can't replace a
	// later one.
	homesUpdate    sync.Mutex
	homesUpdatedAt time.Time // when they were last passed

	mu                 sync.Mutex
	shards             map[string]*Shard
	sorted             []*Shard                    // shards by service, for all
	servers            map[string][]listing.Server // by service; callers share the slices
	ownershipDirty     bool                        // ownership must be recomputed
	ownershipUpdatedAt time.Time                   // when ownership was last computed
	hostsListedAt      time.Time                   // when this host's row was first seen in the list of hosts
	plans              map[string]owner.Plan       // by service, until hosts or servers change
	cancellations      *schedule.Cancellations     // of all services
}

// New returns a Scheduler without shards.
func New(c Config) *Scheduler {
	if c.Stalls == nil {
		c.Stalls = stall.New(c.Stall)
	}
	if c.Meter == nil {
		c.Meter = late.New()
	}
	if c.Now == nil {
		c.Now = clock.Now
	}
	return &Scheduler{
		config:  c,
		started: c.Now(),
		wakeUp:  make(chan struct{}, 1),
		load:    newLoad(c.Late, c.Meter),
		shards:  map[string]*Shard{},
		plans:   map[string]owner.Plan{},

		cancellations: schedule.NewCancellations(c.Canceled),
	}
}

// plan returns the homes of a service. Every job asks for them, so the plan is cached
// until hosts or backend servers change.
func (s *Scheduler) plan(service string) owner.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if plan, ok := s.plans[service]; ok {
		return plan
	}
	plan := s.config.Roster.View(s.servers[service]).Plan()
	s.plans[service] = plan
	return plan
}

// viewWithPlans returns the view of the hosts, and computes the plans that are missing from it.
func (s *Scheduler) viewWithPlans() owner.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.config.Roster.View(nil)
	for service := range s.shards {
		if _, ok := s.plans[service]; !ok {
			view.Servers = s.servers[service]
			s.plans[service] = view.Plan()
		}
	}
	view.Servers = nil
	return view
}

// Shard returns the shard of a service, creating it on first use.
func (s *Scheduler) Shard(service string) *Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[service]
	if shard != nil {
		return shard
	}
	shard = s.newShard(service, s.config.Roster.Self().Domain)
	s.shards[service] = shard
	return shard
}

// newShard returns a shard for a host in the given failure domain.
func (s *Scheduler) newShard(service, domain string) *Shard {
	stallCount, _ := s.config.Stalls.Observe(s.config.Now())
	shard := &Shard{
		stallCount: stallCount,
		service:    service,
		self:       s.config.Self,
		servers:    s.config.Servers,
		lender: lender{
			peers:    s.config.Peers,
			self:     s.config.Self,
			now:      s.config.Now,
			reattach: s.config.Reattach,
		},
		answer:       s.config.Answer,
		stall:        s.config.Stall,
		stalls:       s.config.Stalls,
		load:         s.load,
		meter:        s.config.Meter,
		now:          s.config.Now,
		notifyLimits: s.config.Tell,
		notifier:     schedule.NewReporter(s.config.Tell),
		wake:         s.wake,
		counters:     s.config.Counters,
		log:          s.config.Log.WithName("scheduler").WithValues("service", service),
		pool:         pool.New(domain, s.config.Pool),
		ask:          func(cmd schedule.AskCmd) { s.ask(service, cmd) },
		jobs:         schedule.New(s.config.Self, s.config.Jobs),
		callers:      map[string]caller{},
		lent:         map[string]*lentRun{},
		earlyHalts:   map[lentTask]int{},
		joins:        map[schedule.JobName][]*joinCall{},
		reattach:     s.config.Reattach,
	}
	shard.shareLoss = func(msg schedule.LossMsg) { s.shareLoss(service, msg) }
	shard.announcer = &announcer{
		now:  s.config.Now,
		send: func(jobs []string) { s.announceJobs(shard, s.config.Now(), jobs) },
	}
	return shard
}

// all returns the shards, sorted by service.
func (s *Scheduler) all() []*Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sorted) != len(s.shards) { // none is ever removed
		s.sorted = slices.SortedFunc(maps.Values(s.shards), func(a, b *Shard) int { return cmp.Compare(a.service, b.service) })
	}
	return s.sorted
}

// SetServers replaces the listed backend servers of all services.
func (s *Scheduler) SetServers(servers []listing.Server) {
	byService := map[string][]listing.Server{}
	for _, server := range servers {
		s.Shard(server.Service)
		byService[server.Service] = append(byService[server.Service], server)
	}
	s.mu.Lock()
	s.servers = byService
	clear(s.plans)
	s.mu.Unlock()
	domain := s.config.Roster.Self().Domain
	for _, shard := range s.all() {
		shard.setEvacuated(evacuatedServers(byService[shard.service], domain))
	}
	s.updateOwnership()
}

// allEvacuated reports whether there are backend servers, all in evacuated failure domains.
func allEvacuated(servers []listing.Server) bool {
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s listing.Server) bool { return !s.Evacuated })
}

// evacuatedServers returns which backend servers are evacuated, for a host in the given failure
// domain.
func evacuatedServers(servers []listing.Server, domain string) schedule.EvacuatedMsg {
	own := slices.DeleteFunc(slices.Clone(servers), func(s listing.Server) bool { return s.Domain != domain })
	return schedule.EvacuatedMsg{
		Own: allEvacuated(own),
		All: allEvacuated(servers),
	}
}

// setEvacuated sets which backend servers are evacuated.
func (s *Shard) setEvacuated(evacuated schedule.EvacuatedMsg) {
	s.mu.Lock()
	changed := s.evacuated != evacuated
	s.evacuated, s.capacityDirty = evacuated, s.capacityDirty || changed
	s.mu.Unlock()
	if changed {
		s.update(evacuated)
	}
}

// Servers returns the listed backend servers of a service.
func (s *Scheduler) Servers(service string) []listing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[service]
}

// refreshOwnership recomputes which servers this host owns after a change, and
// periodically, as the rows of other hosts may have expired meanwhile.
func (s *Scheduler) refreshOwnership() {
	s.mu.Lock()
	due := s.ownershipDirty || s.config.Now().Sub(s.ownershipUpdatedAt) >= maxOwnershipInterval
	s.mu.Unlock()
	if due {
		s.updateOwnership()
	}
}

// maxOwnershipInterval is how often ownership is recomputed without a change.
const maxOwnershipInterval = 500 * time.Millisecond

// updateOwnership recomputes which servers this host owns.
func (s *Scheduler) updateOwnership() {
	if !s.membershipSettled() {
		s.mu.Lock()
		s.ownershipDirty = true
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.ownershipDirty, s.ownershipUpdatedAt = false, s.config.Now()
	s.mu.Unlock()
	self := s.config.Roster.Self()
	claims := s.config.Roster.Claims()
	homes := 0
	s.updateHomes()
	for _, shard := range s.all() {
		view := s.config.Roster.View(s.Servers(shard.service))
		homes = max(homes, len(s.plan(shard.service).Homes(self.Domain)))
		shard.resolveLosses()
		mine := view.AssignedServers(self, shard.Held(), claims)
		shard.update(pool.AssignMsg{
			Servers: mine,
			Token:   tokenAt(time.Now(), s.config.Self),
		})
	}
	s.config.Roster.SetMinHomes(homes)
}

// membershipSettled reports whether heartbeats of all live hosts should have arrived.
// Hosts that start together need a while to discover each other; a host that takes
// servers over earlier causes the loss of the runs that their previous owner started.
func (s *Scheduler) membershipSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if s.hostsListedAt.IsZero() && s.config.Roster.IsListed() {
		s.hostsListedAt = now
	}
	if s.hostsListedAt.IsZero() {
		return now.Sub(s.started) >= listWait+s.config.Settle
	}
	since := now.Sub(s.hostsListedAt)
	return since >= s.config.Complete || (since >= s.config.Settle && s.domainComplete())
}

// domainComplete reports whether heartbeats arrive from all hosts of the own failure
// domain.
func (s *Scheduler) domainComplete() bool {
	return s.config.Roster.View(nil).ReceivesFromAll(s.config.Roster.Self().Domain)
}

// listWait is how long a host waits for its own row in the list of hosts in the store before
// it relies on heartbeats alone.
const listWait = time.Second

// tokenAt returns a fencing token that is higher than any drawn earlier by hosts with
// synchronized clocks, and distinct between hosts at the same moment.
func tokenAt(now time.Time, self string) int64 {
	const hostBits = 11
	return now.UnixMilli()<<hostBits | int64(hashOf(self)&(1<<hostBits-1))
}

// hostsChanged reacts to hosts that join, leave or release servers.
func (s *Scheduler) hostsChanged() {
	alive := map[string]bool{}
	for _, h := range s.config.Roster.Live() {
		alive[h.Address] = true
	}
	for _, shard := range s.all() {
		for _, host := range shard.remoteHosts() {
			if !alive[host] {
				shard.removeHost(host)
			}
		}
	}
	s.mu.Lock()
	s.ownershipDirty = true
	clear(s.plans)
	s.mu.Unlock()
	s.updateHomes()
	s.wake()
}

// removeHost drops the state of a host that is no longer alive.
func (s *Shard) removeHost(host string) {
	s.mu.Lock()
	s.notifier.Forget(host)
	s.mu.Unlock()
	s.update(schedule.PoolGoneMsg{Host: host})
}

// Held returns the backend servers that this host owns.
func (s *Shard) Held() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.OwnedServers()
}

// Capacity returns the free capacity of the servers that this host owns.
func (s *Shard) Capacity() pool.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Capacity(s.now())
}

func (s *Shard) remoteHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.Hosts()
}

// payloadFor returns the payload of this host's heartbeats, with the queues of the
// given routes.
func (s *Scheduler) payloadFor(routes []string) roster.HeartbeatPayload {
	var payload roster.HeartbeatPayload
	for _, shard := range s.all() {
		payload.Held = append(payload.Held, shard.Held()...)
		shard.mu.Lock()
		for _, route := range routes {
			if n := shard.jobs.Waiting(route); n > 0 {
				payload.Queues = append(payload.Queues, wire.Queue{
					Route:   route,
					Waiting: n,
				})
			}
		}
		shard.mu.Unlock()
	}
	slices.Sort(payload.Held)
	return payload
}

// Waiting returns the number of jobs of a route that are queued here.
func (s *Scheduler) Waiting(route string) int {
	sum := 0
	for _, shard := range s.all() {
		shard.mu.Lock()
		sum += shard.jobs.Waiting(route)
		shard.mu.Unlock()
	}
	return sum
}

// Unfinished returns the number of unfinished jobs and runs.
func (s *Scheduler) Unfinished() int {
	sum := 0
	for _, shard := range s.all() {
		shard.mu.Lock()
		sum += shard.jobs.Jobs() + shard.pool.Pending()
		shard.mu.Unlock()
	}
	return sum
}

// CanPlace reports whether the homes that new jobs would go to own backend servers.
func (s *Scheduler) CanPlace() bool {
	claims := s.config.Roster.Claims()
	domain := s.config.Roster.Self().Domain
	for _, shard := range s.all() {
		home, ok := s.plan(shard.service).Home("", domain)
		if ok && home.Address != s.config.Self && len(claims[home.Address]) > 0 {
			continue
		}
		if servers := s.Servers(shard.service); len(servers) > 0 && shard.total() == 0 && !allEvacuated(servers) {
			return false
		}
	}
	return true
}

// KnowsEarlierRuns reports whether jobs of no service that may run elsewhere wait at this host
// for its own age.
func (s *Scheduler) KnowsEarlierRuns() bool {
	now := s.config.Now()
	for _, shard := range s.all() {
		if !shard.knowsEarlierRuns(now) {
			return false
		}
	}
	return true
}

func (s *Shard) knowsEarlierRuns(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.KnowsEarlierRuns(now)
}

// total returns the known capacity of all hosts' pools, in thousandths of a core.
func (s *Shard) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.TotalCPU()
}

// idle reports whether the shard needs no ticks.
func (s *Shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.Idle() && s.pool.Idle()
}
