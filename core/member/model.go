package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Host is one host as its heartbeats describe it.
type Host struct {
	Incarnation     string
	Address         string // peer address, as host:port
	Domain          string // failure domain
	HeartbeatCount  int    // heartbeat counter
	Stopping        bool   // a planned stop began
	StartedAtMillis int64  // start of the process, Unix milliseconds; 0 is unknown
	CPU             int    // of its processor, in thousandths; 0 is unknown

	Age time.Duration // of Count, where another host tells of this one
}

// Limits sets the pace of heartbeats and how long silence is tolerated.
type Limits struct {
	DeadAfter           time.Duration // silence after which a host counts as dead
	ForgetAfter         time.Duration // silence after which a host is no longer listed
	EntriesPerHeartbeat int           // entries that ride on one heartbeat in turn
	Relays              int           // hosts of a failure domain that hear all of it while the others hear these; 0 is all
	RelayFanOut         int           // hosts that hear relays only and get a heartbeat of one relay in a period
	NonRelayPeriods     int           // periods between heartbeats of a host that is no relay
	Period              time.Duration // between heartbeats
}

// Msg is something that a host learned of the fleet.
type Msg interface{ memberMsg() }

// BeatMsg is a heartbeat that arrived.
type BeatMsg struct {
	From    Host
	Entries []Host
}

// SeedMsg names hosts that may live, by peer address; where the failure domain is
// known too, a host is looked for no more often than it would be heard from.
type SeedMsg struct{ Hosts []Host }

// NotListeningMsg says that nothing listens at a host's address any more.
type NotListeningMsg struct{ Address string }

// MinRelaysMsg is how many relays each failure domain needs at least.
type MinRelaysMsg struct{ Relays int }

// StopMsg says that this host begins a planned stop.
type StopMsg struct{}

// TickMsg is one heartbeat period.
type TickMsg struct{}

func (BeatMsg) memberMsg()         {}
func (SeedMsg) memberMsg()         {}
func (NotListeningMsg) memberMsg() {}
func (MinRelaysMsg) memberMsg()    {}
func (StopMsg) memberMsg()         {}
func (TickMsg) memberMsg()         {}

// Cmd is something for the caller of Update to do.
type Cmd interface{ memberCmd() }

// SendCmd asks to send a heartbeat to an address.
type SendCmd struct {
	Address string
	Entries []Host
}

// LiveHostsCmd says that the set of live hosts changed.
type LiveHostsCmd struct{ Hosts []Host }

func (SendCmd) memberCmd()      {}
func (LiveHostsCmd) memberCmd() {}

// peer is one address and the host last heard of there.
type peer struct {
	host   Host
	heard  time.Time
	alive  bool
	direct int // the period in which the host itself was last heard
	named  int // the period in which the host was first named
	turn   int // of the entries that ride on the heartbeats to it
}

// Model is one host's view of the fleet.
type Model struct {
	self   Host
	limits Limits
	offset int // of this host's turns, so that hosts don't all choose the same target
	peers  map[string]*peer
	order  []*peer          // the same by address; nil when it is to be made anew
	period int              // heartbeat periods so far
	relays map[string]relay // by peer address
	least  int              // relays that a failure domain needs
	span   int              // periods in which a relay sends heartbeats to each host that is none
	round  int              // periods in which a host that is no relay is told of all that it is told of
	gap    int              // periods between heartbeats of any relay at a host that is none
}

// offsets is how many different turns hosts may begin at.
const offsets = 1 << 10

// New returns a view that knows only the host itself; rng must be seeded.
func New(self Host, limits Limits, rng *rand.Rand) *Model {
	limits.RelayFanOut, limits.NonRelayPeriods = max(1, limits.RelayFanOut), max(1, limits.NonRelayPeriods)
	return &Model{
		self:   self,
		limits: limits,
		relays: map[string]relay{},
		offset: rng.IntN(offsets),
		peers:  map[string]*peer{},
		period: 1, // 0 is for hosts that were never heard themselves
	}
}

// Self returns the host's own entry with its current counter.
func (m *Model) Self() Host { return m.self }

// Update takes one message and returns what has to be done about it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case BeatMsg:
		return m.beat(now, msg)
	case SeedMsg:
		m.seed(now, msg.Hosts)
	case NotListeningMsg:
		return m.lost(now, msg.Address)
	case MinRelaysMsg:
		if msg.Relays != m.least {
			m.least = msg.Relays
			m.elect(now)
		}
	case StopMsg:
		m.self.Stopping = true
		return m.changed(now)
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

func (m *Model) seed(now time.Time, hosts []Host) {
	for _, h := range hosts {
		if h.Address != m.self.Address && m.peers[h.Address] == nil {
			m.add(h.Address, &peer{
				host: Host{
					Address: h.Address,
					Domain:  h.Domain,
				},
				heard: now,
				named: m.period,
			})
		}
	}
}

// changed reacts to a change of the live hosts.
func (m *Model) changed(now time.Time) []Cmd {
	m.elect(now)
	return []Cmd{LiveHostsCmd{Hosts: m.Live()}}
}

func (m *Model) beat(now time.Time, msg BeatMsg) []Cmd {
	changed := m.direct(now, msg)
	for _, h := range msg.Entries {
		heard := now.Add(-h.Age)
		h.Age = 0
		if now.Sub(heard) < m.tolerance(h) {
			changed = m.indirect(heard, h) || changed
		}
	}
	if !changed {
		return nil
	}
	return m.changed(now)
}

// direct takes what a host says of itself; a new incarnation replaces the old.
func (m *Model) direct(now time.Time, msg BeatMsg) bool {
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
	p.host, p.heard, p.alive = msg.From, now, true
	p.direct = m.period
	return changed
}

// indirect takes what a third host heard at some time; it can't replace a live
// incarnation.
func (m *Model) indirect(heard time.Time, h Host) bool {
	if h.Address == m.self.Address {
		return false
	}
	p := m.peers[h.Address]
	switch {
	case p == nil:
		m.add(h.Address, &peer{
			host:  h,
			heard: heard,
			alive: true,
		})
		return true
	case p.host.Incarnation == h.Incarnation && h.HeartbeatCount > p.host.HeartbeatCount:
		changed := !p.alive || p.host.Stopping != h.Stopping
		p.host, p.heard, p.alive = h, heard, true
		return changed
	case p.host.Incarnation != h.Incarnation && !p.alive:
		p.host, p.heard, p.alive = h, heard, true
		return true
	}
	return false
}

func (m *Model) tick(now time.Time) []Cmd {
	m.self.HeartbeatCount++
	changed := m.expire(now)
	if changed || len(m.relays) == 0 {
		m.elect(now)
	}
	heard := m.period
	m.period++
	var cmds []Cmd
	for _, address := range m.targets() {
		known := m.known(now, address)
		if m.isOwnDomain(address) {
			known = append(known, m.news(now, heard, address)...)
		}
		cmds = append(cmds, SendCmd{
			Address: address,
			Entries: known,
		})
	}
	if changed {
		cmds = append(cmds, LiveHostsCmd{Hosts: m.Live()})
	}
	return cmds
}

// lost counts a host as dead at once; it is heard again when it comes back.
func (m *Model) lost(now time.Time, address string) []Cmd {
	p := m.peers[address]
	if p == nil || !p.alive {
		return nil
	}
	p.alive = false
	return m.changed(now)
}

func (m *Model) expire(now time.Time) bool {
	changed := false
	for address, p := range m.peers {
		silence := m.silence(now, p)
		if p.alive && silence >= m.tolerance(p.host) {
			p.alive = false
			changed = true
		}
		if !p.alive && silence >= m.limits.ForgetAfter && p.host.Incarnation != "" {
			delete(m.peers, address)
			m.order = nil
		}
	}
	return changed
}

// foreignEvery is after how many periods a foreign failure domain gets the next
// heartbeat; its hosts relay each one within a period.
const foreignEvery = 2

// probeEvery is after how many of its heartbeats a foreign failure domain gets one
// more, at a host that is silent.
const probeEvery = 4

// targets returns own-domain hosts, unknown seeds, and one host of each foreign
// domain whose turn it is. Where there are relays, only they look abroad.
func (m *Model) targets() []string {
	if !m.partial() {
		return append(m.nearTargets(), m.foreignTargets()...)
	}
	targets := m.ownTargets()
	if m.isRelay(m.self.Address) {
		targets = append(targets, m.foreignTargets()...)
	}
	return targets
}

// nearTargets returns all own-domain hosts and unknown seeds.
func (m *Model) nearTargets() []string {
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
		if (m.period+i)%foreignEvery == 0 {
			targets = append(targets, foreign[domain].next(m.offset+m.period/foreignEvery, !m.partial())...)
		}
	}
	return targets
}

// candidates is the hosts of a foreign failure domain.
type candidates struct{ live, silent []string }

func (c *candidates) add(p *peer) {
	if p.alive {
		c.live = append(c.live, p.host.Address)
		return
	}
	c.silent = append(c.silent, p.host.Address)
}

// next returns the targets of one turn: the live hosts one after the other, and,
// where hosts hear all others, now and then a silent one, which may have come back.
func (c *candidates) next(turn int, all bool) []string {
	var targets []string
	if len(c.live) > 0 {
		targets = append(targets, c.live[turn%len(c.live)])
	}
	switch {
	case len(c.silent) == 0:
	case len(c.live) == 0:
		targets = append(targets, c.silent[turn%len(c.silent)])
	case all && turn%probeEvery == 0:
		targets = append(targets, c.silent[turn/probeEvery%len(c.silent)])
	}
	return targets
}

func (m *Model) isOwnDomain(address string) bool {
	p := m.peers[address]
	return p != nil && p.host.Domain == m.self.Domain
}

func (m *Model) sorted() []*peer {
	if m.order == nil {
		m.order = make([]*peer, 0, len(m.peers))
		for _, p := range m.peers {
			m.order = append(m.order, p)
		}
		slices.SortFunc(m.order, func(a, b *peer) int { return cmp.Compare(a.host.Address, b.host.Address) })
	}
	return m.order
}

// add notes a host at an address.
func (m *Model) add(address string, p *peer) {
	m.peers[address] = p
	m.order = nil
}

// known returns the next few live entries in turn, without the receiver.
func (m *Model) known(now time.Time, receiver string) []Host {
	var live []*peer
	for _, p := range m.sorted() {
		if p.alive && m.tells(receiver, p.host) {
			live = append(live, p)
		}
	}
	var known []Host
	to := m.peers[receiver]
	for range min(m.limits.EntriesPerHeartbeat, len(live)) {
		known = append(known, live[(m.offset+to.turn)%len(live)].aged(now))
		to.turn++
	}
	return known
}

// aged returns the host with the age of what is known of it.
func (p *peer) aged(now time.Time) Host {
	h := p.host
	h.Age = now.Sub(p.heard)
	return h
}

// Live returns the hosts that count as alive, this one included, by address.
func (m *Model) Live() []Host {
	live := []Host{m.self}
	for _, p := range m.peers {
		if p.alive {
			live = append(live, p.host)
		}
	}
	slices.SortFunc(live, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
	return live
}

// Holders returns the hosts that may hold tasks: the live ones, and the silent
// ones that nobody saw stop. A host that was cut off goes on serving.
func (m *Model) Holders() []Host {
	holders := []Host{m.self}
	for _, p := range m.sorted() {
		if p.host.Incarnation != "" && !p.host.Stopping {
			holders = append(holders, p.host)
		}
	}
	return holders
}

// Successors returns live hosts that aren't stopping, own failure domain first.
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
