package scheduler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/owner"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/stall"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Parts is what a Scheduler works with.
type Parts struct {
	Self     string // peer address
	Servers  Servers
	Peers    Peers
	Roster   *roster.Roster
	Pool     pool.Limits
	Jobs     schedule.Limits
	Answer   time.Duration // longest wait for an order's answer
	Reattach time.Duration // that work for a host whose link broke goes on
	Stall    time.Duration // after which a decision is out of date
	Stalls   *stall.Detector
	Tell     schedule.TellLimits
	Settle   time.Duration // after the start, before servers are taken over
	Complete time.Duration // after the start, before that happens though a host of the failure domain isn't heard
	Counters *telemetry.Counters
	Log      logr.Logger
}

// Scheduler is the shards of all services.
type Scheduler struct {
	parts   Parts
	started time.Time
	woken   chan struct{} // work came to a host without any

	mu      sync.Mutex
	shards  map[string]*Shard
	servers []listing.Server
	dirty   bool                  // ownership is to be computed again
	ownedAt time.Time             // when it was
	listed  time.Time             // when the list of hosts was first seen
	plans   map[string]owner.Plan // by service, until hosts or servers change
}

// New returns a scheduler without shards.
func New(p Parts) *Scheduler {
	if p.Stalls == nil {
		p.Stalls = stall.New(p.Stall)
	}
	return &Scheduler{
		parts:   p,
		started: time.Now(),
		woken:   make(chan struct{}, 1),
		shards:  map[string]*Shard{},
		plans:   map[string]owner.Plan{},
	}
}

// plan returns the homes of a service. They are chosen anew only when hosts or
// backend servers changed, as each job asks for them.
func (s *Scheduler) plan(service string) owner.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if plan, ok := s.plans[service]; ok {
		return plan
	}
	plan := s.parts.Roster.View(s.serversOf(service)).Plan()
	s.plans[service] = plan
	return plan
}

// Shard returns the shard of a service, made on first use.
func (s *Scheduler) Shard(service string) *Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[service]
	if shard != nil {
		return shard
	}
	shard = s.newShard(service, s.parts.Roster.Self().Domain)
	s.shards[service] = shard
	return shard
}

// newShard returns a shard for a host of a failure domain.
func (s *Scheduler) newShard(service, domain string) *Shard {
	stalled, _ := s.parts.Stalls.Count(time.Now())
	return &Shard{
		stalled: stalled,
		service: service,
		self:    s.parts.Self,
		servers: s.parts.Servers,
		lender: lender{
			peers:    s.parts.Peers,
			reattach: s.parts.Reattach,
		},
		answer:   s.parts.Answer,
		stall:    s.parts.Stall,
		stalls:   s.parts.Stalls,
		tell:     s.parts.Tell,
		teller:   schedule.NewTeller(s.parts.Tell),
		wake:     s.wake,
		counters: s.parts.Counters,
		log:      s.parts.Log.WithName("scheduler").WithValues("service", service),
		pool:     pool.New(domain, s.parts.Pool),
		jobs:     schedule.New(s.parts.Self, s.parts.Jobs),
		callers:  map[string]func(work.Outcome){},
		lent:     map[string]*lentRun{},
		halted:   map[string]int{},
		reattach: s.parts.Reattach,
	}
}

// all returns the shards in a fixed order.
func (s *Scheduler) all() []*Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Sorted(maps.Keys(s.shards))
	shards := make([]*Shard, 0, len(names))
	for _, name := range names {
		shards = append(shards, s.shards[name])
	}
	return shards
}

// SetServers takes the listed backend servers of all services.
func (s *Scheduler) SetServers(servers []listing.Server) {
	for _, server := range servers {
		s.Shard(server.Service)
	}
	s.mu.Lock()
	s.servers = servers
	clear(s.plans)
	s.mu.Unlock()
	s.own()
}

// Servers returns the listed backend servers of a service.
func (s *Scheduler) Servers(service string) []listing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serversOf(service)
}

func (s *Scheduler) serversOf(service string) []listing.Server {
	var servers []listing.Server
	for _, server := range s.servers {
		if server.Service == service {
			servers = append(servers, server)
		}
	}
	return servers
}

// ownAgain computes which servers this host holds when something changed since,
// or a while passed, in which rows may have aged.
func (s *Scheduler) ownAgain() {
	s.mu.Lock()
	due := s.dirty || time.Since(s.ownedAt) >= ownLeast
	s.mu.Unlock()
	if due {
		s.own()
	}
}

// ownLeast is how often ownership is computed again without a change.
const ownLeast = 500 * time.Millisecond

// own computes again which servers this host holds.
func (s *Scheduler) own() {
	if !s.settled() {
		s.mu.Lock()
		s.dirty = true
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.dirty, s.ownedAt = false, time.Now()
	s.mu.Unlock()
	self := s.parts.Roster.Self()
	claims := s.parts.Roster.Claims()
	homes := 0
	for _, shard := range s.all() {
		view := s.parts.Roster.View(s.Servers(shard.service))
		homes = max(homes, len(s.plan(shard.service).Homes(self.Domain)))
		mine := view.Mine(self, shard.Held(), claims)
		shard.update(pool.OwnMsg{
			Servers: mine,
			Token:   tokenAt(time.Now(), s.parts.Self),
		})
	}
	s.parts.Roster.SetHomes(homes)
}

// settled reports whether hosts that are alive must have been heard. Hosts that start
// together take a while to do so; each that takes servers over before costs the runs
// of the one that did before it.
func (s *Scheduler) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.listed.IsZero() && s.parts.Roster.Listed() {
		s.listed = now
	}
	if s.listed.IsZero() {
		return now.Sub(s.started) >= settleBlind+s.parts.Settle
	}
	since := now.Sub(s.listed)
	return since >= s.parts.Complete || (since >= s.parts.Settle && s.complete())
}

// complete reports whether all of the own failure domain is heard.
func (s *Scheduler) complete() bool {
	return s.parts.Roster.View(nil).ReceivesFromAll(s.parts.Roster.Self().Domain)
}

// settleBlind is how long a host waits for the list of hosts in the store
// before it goes by what it hears alone.
const settleBlind = time.Second

// tokenAt returns a fencing token that is higher than those that hosts with
// clocks alike drew before, and unlike that of any host of the same moment.
func tokenAt(now time.Time, self string) int64 {
	const hostBits = 11
	return now.UnixMilli()<<hostBits | int64(hashOf(self)&(1<<hostBits-1))
}

// hostsChanged reacts to hosts that come, go or let servers go.
func (s *Scheduler) hostsChanged() {
	alive := map[string]bool{}
	for _, h := range s.parts.Roster.View(nil).Hosts {
		alive[h.Address] = true
	}
	for _, shard := range s.all() {
		for _, host := range shard.lenders() {
			if !alive[host] {
				shard.gone(host)
			}
		}
	}
	s.mu.Lock()
	s.dirty = true
	clear(s.plans)
	s.mu.Unlock()
	s.wake()
}

// gone drops what is known of a host that isn't heard any more.
func (s *Shard) gone(host string) {
	s.mu.Lock()
	s.teller.Forget(host)
	s.mu.Unlock()
	s.update(schedule.GoneMsg{Host: host})
}

// Held returns the backend servers that this host holds.
func (s *Shard) Held() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Held()
}

// Room returns the free room of the servers that this host holds.
func (s *Shard) Room() pool.Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Capacity(time.Now())
}

func (s *Shard) lenders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.Hosts()
}

// news returns what rides on this host's heartbeats.
func (s *Scheduler) news(routes []string) roster.News {
	var news roster.News
	for _, shard := range s.all() {
		news.Held = append(news.Held, shard.Held()...)
		shard.mu.Lock()
		for _, route := range routes {
			if n := shard.jobs.Waiting(route); n > 0 {
				news.Queues = append(news.Queues, wire.Queue{
					Route:   route,
					Waiting: n,
				})
			}
		}
		shard.mu.Unlock()
	}
	slices.Sort(news.Held)
	return news
}

// Waiting returns how many jobs of a route wait here.
func (s *Scheduler) Waiting(route string) int {
	sum := 0
	for _, shard := range s.all() {
		shard.mu.Lock()
		sum += shard.jobs.Waiting(route)
		shard.mu.Unlock()
	}
	return sum
}

// Unfinished returns how many jobs and runs have not ended.
func (s *Scheduler) Unfinished() int {
	sum := 0
	for _, shard := range s.all() {
		shard.mu.Lock()
		sum += shard.jobs.Jobs() + shard.pool.Pending()
		shard.mu.Unlock()
	}
	return sum
}

// Able reports whether the homes that jobs would go to hold backend servers.
func (s *Scheduler) Able() bool {
	claims := s.parts.Roster.Claims()
	domain := s.parts.Roster.Self().Domain
	for _, shard := range s.all() {
		home, ok := s.plan(shard.service).Home("", domain)
		if ok && home.Address != s.parts.Self && len(claims[home.Address]) > 0 {
			continue
		}
		if len(s.Servers(shard.service)) > 0 && shard.total() == 0 {
			return false
		}
	}
	return true
}

// total returns the room of all pools that is known, in thousandths of a core.
func (s *Shard) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.TotalCPU()
}

// idle reports whether no time needs to pass in a shard.
func (s *Shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs.Idle() && s.pool.Idle()
}
