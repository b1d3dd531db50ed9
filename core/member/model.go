package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Host is a host as described by its heartbeats.
type Host struct {
	Incarnation     string
	Address         string // peer address as host:port
	Domain          string // failure domain
	HeartbeatCount  int    // heartbeat counter
	Stopping        bool   // a graceful shutdown has started
	StartedAtMillis int64  // process start time in Unix milliseconds; 0 if unknown
	CPU             int    // processor capacity in thousandths of a core; 0 if unknown
	FirstHome       string // peer address of the host that it takes as the first home of its failure domain; empty if unknown

	Age time.Duration // time since HeartbeatCount was received, in entries forwarded by another host
}

// Limits configures heartbeat intervals and failure detection timeouts.
type Limits struct {
	DeadAfter           time.Duration // time without heartbeats after which a host counts as dead
	ForgetAfter         time.Duration // time without heartbeats after which a dead host is removed
	EntriesPerHeartbeat int           // number of other entries, in turn, in a heartbeat
	Relays              int           // relays per failure domain, which exchange heartbeats with all its hosts; 0 disables relays
	RelayFanOut         int           // non-relays to which a relay sends heartbeats per period
	NonRelayPeriods     int           // periods between heartbeats of a non-relay to the relays
	Period              time.Duration // heartbeat period
	RevoteSoon          bool          // a non-relay sends a heartbeat in the next period once it takes another host as the first home
}

// Msg is an input of Update.
type Msg interface{ memberMsg() }

// HeartbeatMsg is a received heartbeat.
type HeartbeatMsg struct {
	From    Host
	Entries []Host
}

// SeedMsg adds hosts that may be alive, by peer address. A seed with a known failure
// domain gets heartbeats no more often than a live host of that domain.
type SeedMsg struct{ Hosts []Host }

// NotListeningMsg reports that no process listens on a host's address any more.
type NotListeningMsg struct{ Address string }

// MinRelaysMsg sets the minimum number of relays per failure domain.
type MinRelaysMsg struct{ Relays int }

// StopMsg reports that this host starts a graceful shutdown.
type StopMsg struct{}

// TickMsg starts the next heartbeat period.
type TickMsg struct{}

func (HeartbeatMsg) memberMsg()    {}
func (SeedMsg) memberMsg()         {}
func (NotListeningMsg) memberMsg() {}
func (MinRelaysMsg) memberMsg()    {}
func (StopMsg) memberMsg()         {}
func (TickMsg) memberMsg()         {}

// Cmd is an action that the caller of Update must execute.
type Cmd interface{ memberCmd() }

// SendCmd requests that a heartbeat be sent to an address.
type SendCmd struct {
	Address string
	Entries []Host
}

// LiveHostsCmd reports that the set of live hosts, or the state of one of them, changed.
type LiveHostsCmd struct{ Hosts []Host }

func (SendCmd) memberCmd()      {}
func (LiveHostsCmd) memberCmd() {}

// peer is the last host seen at an address.
type peer struct {
	host         Host
	lastHeard    time.Time
	alive        bool
	directPeriod int // period of the last heartbeat from the host itself; 0 if none
	seedPeriod   int // period in which the address was added as a seed
	nextEntry    int // counter of the entries sent to it in turn
}

// Model is one host's view of the fleet.
type Model struct {
	self        Host
	limits      Limits
	turnOffset  int // random offset of this host's turns, so that hosts don't all choose the same target
	peers       map[string]*peer
	sortedPeers []*peer          // peers sorted by address; nil if outdated
	period      int              // current heartbeat period
	tickedAt    time.Time        // start of that period
	resumedAt   time.Time        // end of the latest pause of this process
	relays      map[string]relay // by peer address
	minRelays   int              // minimum number of relays per failure domain, from MinRelaysMsg
	relayCycle  int              // periods in which a relay sends a heartbeat to each non-relay
	gossipRound int              // periods until a non-relay has received every entry in turn
	relayGap    int              // periods between heartbeats from any relay at a non-relay
	votedFor    string           // first home as of the last heartbeats to the relays
}

// turnOffsets is the number of different turns at which hosts may start.
const turnOffsets = 1 << 10

// New returns a Model that only contains the host itself. Its rng must be seeded.
func New(self Host, limits Limits, rng *rand.Rand) *Model {
	limits.RelayFanOut, limits.NonRelayPeriods = max(1, limits.RelayFanOut), max(1, limits.NonRelayPeriods)
	return &Model{
		self:       self,
		limits:     limits,
		relays:     map[string]relay{},
		turnOffset: rng.IntN(turnOffsets),
		peers:      map[string]*peer{},
		period:     1, // 0 marks hosts that sent no heartbeat themselves
	}
}

// Self returns the host's own entry with its current heartbeat counter.
func (m *Model) Self() Host { return m.self }

// Update processes a message and returns the commands to execute.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case HeartbeatMsg:
		return m.handleHeartbeat(now, msg)
	case SeedMsg:
		m.addSeeds(now, msg.Hosts)
	case NotListeningMsg:
		return m.markDead(now, msg.Address)
	case MinRelaysMsg:
		if msg.Relays != m.minRelays {
			m.minRelays = msg.Relays
			m.electRelays(now)
		}
	case StopMsg:
		m.self.Stopping = true
		return m.liveChanged(now)
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

func (m *Model) addSeeds(now time.Time, hosts []Host) {
	for _, h := range hosts {
		if h.Address != m.self.Address && m.peers[h.Address] == nil {
			m.add(h.Address, &peer{
				host: Host{
					Address: h.Address,
					Domain:  h.Domain,
				},
				lastHeard:  now,
				seedPeriod: m.period,
			})
		}
	}
}

// liveChanged elects relays after a change of the live hosts and reports the change.
func (m *Model) liveChanged(now time.Time) []Cmd {
	m.electRelays(now)
	return []Cmd{LiveHostsCmd{Hosts: m.Live()}}
}

func (m *Model) handleHeartbeat(now time.Time, msg HeartbeatMsg) []Cmd {
	changed := m.applyDirect(now, msg)
	for _, h := range msg.Entries {
		receivedAt := now.Add(-h.Age)
		h.Age = 0
		if now.Sub(receivedAt) < m.deadTimeout(h) {
			changed = m.applyIndirect(receivedAt, h) || changed
		}
	}
	if !changed {
		return nil
	}
	return m.liveChanged(now)
}

// applyDirect applies a heartbeat to its sender's entry. A new incarnation replaces
// the old one. It reports whether the live hosts changed.
func (m *Model) applyDirect(now time.Time, msg HeartbeatMsg) bool {
	if msg.From.Address == m.self.Address {
		return false
	}
	p := m.peers[msg.From.Address]
	if p == nil {
		p = &peer{host: Host{Address: msg.From.Address}}
		m.add(msg.From.Address, p)
	}
	same := p.host.Incarnation == msg.From.Incarnation
	if same && msg.From.HeartbeatCount <= p.host.HeartbeatCount {
		return false
	}
	changed := !same || !p.alive || p.host.Stopping != msg.From.Stopping
	p.host, p.lastHeard, p.alive = msg.From, now, true
	p.directPeriod = m.period
	return changed
}

// applyIndirect applies an entry forwarded by a third host. It can't replace a live
// incarnation, because only the new process itself proves that the old one is gone. It
// reports whether the live hosts changed.
func (m *Model) applyIndirect(receivedAt time.Time, h Host) bool {
	if h.Address == m.self.Address {
		return false
	}
	p := m.peers[h.Address]
	switch {
	case p == nil:
		m.add(h.Address, &peer{
			host:      h,
			lastHeard: receivedAt,
			alive:     true,
		})
		return true
	case p.host.Incarnation == h.Incarnation && h.HeartbeatCount > p.host.HeartbeatCount:
		changed := !p.alive || p.host.Stopping != h.Stopping
		p.host, p.lastHeard, p.alive = h, receivedAt, true
		return changed
	case p.host.Incarnation != h.Incarnation && !p.alive:
		p.host, p.lastHeard, p.alive = h, receivedAt, true
		return true
	}
	return false
}

func (m *Model) tick(now time.Time) []Cmd {
	if !m.tickedAt.IsZero() && now.Sub(m.tickedAt) >= m.limits.DeadAfter/minPauseDivisor {
		m.resumedAt = now
	}
	m.tickedAt = now
	m.self.HeartbeatCount++
	changed := m.expire(now)
	if changed || len(m.relays) == 0 {
		m.electRelays(now)
	}
	endedPeriod := m.period
	m.period++
	var cmds []Cmd
	for _, address := range m.targets() {
		entries := m.nextEntries(now, address)
		if m.isOwnDomain(address) {
			entries = append(entries, m.extraEntries(now, endedPeriod, address)...)
		}
		cmds = append(cmds, SendCmd{
			Address: address,
			Entries: entries,
		})
	}
	if changed {
		cmds = append(cmds, LiveHostsCmd{Hosts: m.Live()})
	}
	return cmds
}

// minPauseDivisor is the part of DeadAfter from which the time between two periods counts as
// a pause of this process, in which it heard nobody.
const minPauseDivisor = 2

// markDead marks a host as dead immediately. The next heartbeat makes it alive again.
func (m *Model) markDead(now time.Time, address string) []Cmd {
	p := m.peers[address]
	if p == nil || !p.alive {
		return nil
	}
	p.alive = false
	return m.liveChanged(now)
}

func (m *Model) expire(now time.Time) bool {
	changed := false
	for address, p := range m.peers {
		silence := m.silentFor(now, p)
		if p.alive && silence >= m.deadTimeout(p.host) {
			p.alive = false
			changed = true
		}
		if !p.alive && silence >= m.limits.ForgetAfter && p.host.Incarnation != "" {
			delete(m.peers, address)
			m.sortedPeers = nil
		}
	}
	return changed
}

// foreignInterval is the number of periods between heartbeats to a foreign failure
// domain, whose hosts forward each one to their domain within a period.
const foreignInterval = 2

// probeInterval is the number of heartbeats to a foreign failure domain after which an
// additional one goes to a silent host there.
const probeInterval = 4

// targets returns the hosts that get a heartbeat in this period: hosts of the own
// failure domain, seeds with an unknown domain, and one host of each foreign domain
// whose turn it is. If relays are used, only relays send to foreign domains.
func (m *Model) targets() []string {
	if !m.usesRelays() {
		return append(m.localTargets(), m.foreignTargets()...)
	}
	targets := m.ownDomainTargets()
	if m.isRelay(m.self.Address) {
		targets = append(targets, m.foreignTargets()...)
	}
	return targets
}

// localTargets returns all hosts of the own failure domain and seeds with an unknown
// domain.
func (m *Model) localTargets() []string {
	var targets []string
	for _, p := range m.sorted() {
		if p.host.Domain == m.self.Domain || p.host.Domain == "" {
			targets = append(targets, p.host.Address)
		}
	}
	return targets
}

func (m *Model) foreignTargets() []string {
	foreign := map[string]*candidates{}
	for _, p := range m.sorted() {
		if p.host.Domain == m.self.Domain || p.host.Domain == "" {
			continue
		}
		c := foreign[p.host.Domain]
		if c == nil {
			c = &candidates{}
			foreign[p.host.Domain] = c
		}
		c.add(p)
	}
	var targets []string
	for i, domain := range slices.Sorted(maps.Keys(foreign)) {
		if (m.period+i)%foreignInterval == 0 {
			targets = append(targets, foreign[domain].next(m.turnOffset+m.period/foreignInterval, !m.usesRelays())...)
		}
	}
	return targets
}

// candidates holds the addresses of the hosts of a foreign failure domain.
type candidates struct{ live, silent []string }

func (c *candidates) add(p *peer) {
	if p.alive {
		c.live = append(c.live, p.host.Address)
		return
	}
	c.silent = append(c.silent, p.host.Address)
}

// next returns the targets of one turn. Live hosts take turns. With probe set, every
// probeInterval turns a silent host is added, which may have recovered. If no host is
// live, the silent ones take turns.
func (c *candidates) next(turn int, probe bool) []string {
	var targets []string
	if len(c.live) > 0 {
		targets = append(targets, c.live[turn%len(c.live)])
	}
	switch {
	case len(c.silent) == 0:
	case len(c.live) == 0:
		targets = append(targets, c.silent[turn%len(c.silent)])
	case probe && turn%probeInterval == 0:
		targets = append(targets, c.silent[turn/probeInterval%len(c.silent)])
	}
	return targets
}

func (m *Model) isOwnDomain(address string) bool {
	p := m.peers[address]
	return p != nil && p.host.Domain == m.self.Domain
}

func (m *Model) sorted() []*peer {
	if m.sortedPeers == nil {
		m.sortedPeers = make([]*peer, 0, len(m.peers))
		for _, p := range m.peers {
			m.sortedPeers = append(m.sortedPeers, p)
		}
		slices.SortFunc(m.sortedPeers, func(a, b *peer) int { return cmp.Compare(a.host.Address, b.host.Address) })
	}
	return m.sortedPeers
}

// add adds a peer at an address.
func (m *Model) add(address string, p *peer) {
	m.peers[address] = p
	m.sortedPeers = nil
}

// nextEntries returns the next live entries in turn for a heartbeat, without the
// receiver.
func (m *Model) nextEntries(now time.Time, receiver string) []Host {
	var live []*peer
	for _, p := range m.sorted() {
		if p.alive && m.shouldSend(receiver, p.host) {
			live = append(live, p)
		}
	}
	var entries []Host
	target := m.peers[receiver]
	for range min(m.limits.EntriesPerHeartbeat, len(live)) {
		entries = append(entries, live[(m.turnOffset+target.nextEntry)%len(live)].withAge(now))
		target.nextEntry++
	}
	return entries
}

// withAge returns the host with the age of its entry.
func (p *peer) withAge(now time.Time) Host {
	h := p.host
	h.Age = now.Sub(p.lastHeard)
	return h
}

// Live returns the hosts that count as alive, this one included, sorted by address.
func (m *Model) Live() []Host {
	live := make([]Host, 0, len(m.peers)+1)
	self := 0
	for _, p := range m.sorted() {
		if !p.alive {
			continue
		}
		live = append(live, p.host)
		if p.host.Address < m.self.Address {
			self = len(live)
		}
	}
	return slices.Insert(live, self, m.self)
}

// FirstHome returns the peer address of the fittest live host in the own failure domain that is
// not shutting down, or "".
func (m *Model) FirstHome() string {
	var first Host
	for _, h := range m.ownDomain() {
		if first.Address == "" || CompareFitness(h, first) < 0 {
			first = h
		}
	}
	return first.Address
}

// DomainRank returns this host's rank by fitness among the live hosts of its failure domain that
// are not shutting down, and their number. A host that is shutting down has rank 0.
func (m *Model) DomainRank() (rank, hosts int) {
	domain := m.ownDomain()
	for _, h := range domain {
		if !m.self.Stopping && CompareFitness(h, m.self) < 0 {
			rank++
		}
	}
	return rank, len(domain)
}

// ownDomain returns the live hosts of the own failure domain that are not shutting down.
func (m *Model) ownDomain() []Host {
	var hosts []Host
	if !m.self.Stopping {
		hosts = append(hosts, m.self)
	}
	for _, p := range m.sorted() {
		if p.alive && p.host.Domain == m.self.Domain && !p.host.Stopping {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// Holders returns the hosts that may hold tasks: this one, and all others, alive or
// silent, that have not announced a shutdown. A silent host may only be partitioned
// and still serve.
func (m *Model) Holders() []Host {
	holders := []Host{m.self}
	for _, p := range m.sorted() {
		if p.host.Incarnation != "" && !p.host.Stopping {
			holders = append(holders, p.host)
		}
	}
	return holders
}

// Successors returns the live hosts that are not shutting down, the own failure domain
// first.
func (m *Model) Successors() []Host {
	var own, foreign []Host
	for _, p := range m.sorted() {
		if !p.alive || p.host.Stopping {
			continue
		}
		if p.host.Domain == m.self.Domain {
			own = append(own, p.host)
		} else {
			foreign = append(foreign, p.host)
		}
	}
	return append(own, foreign...)
}
