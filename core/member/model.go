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
	Incarnation string
	Address     string // peer address, as host:port
	Domain      string // failure domain
	Count       int    // heartbeat counter
	Stopping    bool   // a planned stop began
	Born        int64  // start of the process, Unix milliseconds; 0 is unknown
	Cores       int    // of its processor, in thousandths; 0 is unknown

	Age time.Duration // of Count, where another host tells of this one
}

// Limits sets the pace of heartbeats and how long silence is tolerated.
type Limits struct {
	Dead   time.Duration // silence after which a host counts as dead
	Forget time.Duration // silence after which a host is no longer listed
	Known  int           // entries that ride on one heartbeat in turn
}

// Msg is something that a host learned of the fleet.
type Msg interface{ memberMsg() }

// BeatMsg is a heartbeat that arrived.
type BeatMsg struct {
	From  Host
	Known []Host
}

// SeedMsg names hosts that may live, by peer address; where the failure domain is
// known too, a host is looked for no more often than it would be heard from.
type SeedMsg struct{ Hosts []Host }

// LostMsg says that nothing listens at a host's address any more.
type LostMsg struct{ Address string }

// StopMsg says that this host begins a planned stop.
type StopMsg struct{}

// TickMsg is one heartbeat period.
type TickMsg struct{}

func (BeatMsg) memberMsg() {}
func (SeedMsg) memberMsg() {}
func (LostMsg) memberMsg() {}
func (StopMsg) memberMsg() {}
func (TickMsg) memberMsg() {}

// Cmd is something for the caller of Update to do.
type Cmd interface{ memberCmd() }

// SendCmd asks to send a heartbeat to an address.
type SendCmd struct {
	Address string
	Known   []Host
}

// LiveCmd says that the set of live hosts changed.
type LiveCmd struct{ Hosts []Host }

func (SendCmd) memberCmd() {}
func (LiveCmd) memberCmd() {}

// peer is one address and the host last heard of there.
type peer struct {
	host   Host
	heard  time.Time
	alive  bool
	direct int // the period in which the host itself was last heard
}

// Model is one host's view of the fleet.
type Model struct {
	self   Host
	limits Limits
	offset int // of this host's turns, so that hosts don't all choose the same target
	peers  map[string]*peer
	turn   int // of the entries that ride along in turn
	period int // heartbeat periods so far
}

// offsets is how many different turns hosts may begin at.
const offsets = 1 << 10

// New returns a view that knows only the host itself; rng must be seeded.
func New(self Host, limits Limits, rng *rand.Rand) *Model {
	return &Model{
		self:   self,
		limits: limits,
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
	case LostMsg:
		return m.lost(msg.Address)
	case StopMsg:
		m.self.Stopping = true
		return []Cmd{LiveCmd{Hosts: m.Live()}}
	case TickMsg:
		return m.tick(now)
	}
	return nil
}

func (m *Model) seed(now time.Time, hosts []Host) {
	for _, h := range hosts {
		if h.Address != m.self.Address && m.peers[h.Address] == nil {
			m.peers[h.Address] = &peer{
				host: Host{
					Address: h.Address,
					Domain:  h.Domain,
				},
				heard: now,
			}
		}
	}
}

func (m *Model) beat(now time.Time, msg BeatMsg) []Cmd {
	changed := m.direct(now, msg)
	for _, h := range msg.Known {
		heard := now.Add(-h.Age)
		h.Age = 0
		if now.Sub(heard) < m.limits.Dead {
			changed = m.indirect(heard, h) || changed
		}
	}
	if !changed {
		return nil
	}
	return []Cmd{LiveCmd{Hosts: m.Live()}}
}

// direct takes what a host says of itself; a new incarnation replaces the old.
func (m *Model) direct(now time.Time, msg BeatMsg) bool {
	if msg.From.Address == m.self.Address {
		return false
	}
	p := m.peers[msg.From.Address]
	if p == nil {
		p = &peer{}
		m.peers[msg.From.Address] = p
	}
	same := p.host.Incarnation == msg.From.Incarnation
	if same && msg.From.Count <= p.host.Count {
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
		m.peers[h.Address] = &peer{
			host:  h,
			heard: heard,
			alive: true,
		}
		return true
	case p.host.Incarnation == h.Incarnation && h.Count > p.host.Count:
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
	m.self.Count++
	changed := m.expire(now)
	fresh := m.fresh(now)
	m.period++
	var cmds []Cmd
	for _, address := range m.targets() {
		known := m.known(now, address)
		if m.isOwnDomain(address) {
			known = append(known, fresh...)
		}
		cmds = append(cmds, SendCmd{
			Address: address,
			Known:   known,
		})
	}
	if changed {
		cmds = append(cmds, LiveCmd{Hosts: m.Live()})
	}
	return cmds
}

// lost counts a host as dead at once; it is heard again when it comes back.
func (m *Model) lost(address string) []Cmd {
	p := m.peers[address]
	if p == nil || !p.alive {
		return nil
	}
	p.alive = false
	return []Cmd{LiveCmd{Hosts: m.Live()}}
}

func (m *Model) expire(now time.Time) bool {
	changed := false
	for address, p := range m.peers {
		silence := now.Sub(p.heard)
		if p.alive && silence >= m.limits.Dead {
			p.alive = false
			changed = true
		}
		if !p.alive && silence >= m.limits.Forget && p.host.Incarnation != "" {
			delete(m.peers, address)
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
// domain whose turn it is.
func (m *Model) targets() []string {
	var targets []string
	foreign := map[string]*candidates{}
	for _, p := range m.sorted() {
		switch p.host.Domain {
		case m.self.Domain, "":
			targets = append(targets, p.host.Address)
			continue
		}
		c := foreign[p.host.Domain]
		if c == nil {
			c = &candidates{}
			foreign[p.host.Domain] = c
		}
		c.add(p)
	}
	for i, domain := range slices.Sorted(maps.Keys(foreign)) {
		if (m.period+i)%foreignEvery == 0 {
			targets = append(targets, foreign[domain].next(m.offset+m.period/foreignEvery)...)
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

// next returns the targets of one turn: the live hosts one after the other, and
// now and then a silent one, which may have come back.
func (c *candidates) next(turn int) []string {
	var targets []string
	if len(c.live) > 0 {
		targets = append(targets, c.live[turn%len(c.live)])
	}
	switch {
	case len(c.silent) == 0:
	case len(c.live) == 0:
		targets = append(targets, c.silent[turn%len(c.silent)])
	case turn%probeEvery == 0:
		targets = append(targets, c.silent[turn/probeEvery%len(c.silent)])
	}
	return targets
}

// fresh returns the foreign hosts that were heard themselves in this period.
// Each of them chose this host alone in its failure domain, so the others
// learn of it from here, one hop and one period later.
func (m *Model) fresh(now time.Time) []Host {
	var fresh []Host
	for _, p := range m.sorted() {
		if p.direct == m.period && p.host.Domain != m.self.Domain {
			fresh = append(fresh, p.aged(now))
		}
	}
	return fresh
}

func (m *Model) isOwnDomain(address string) bool {
	p := m.peers[address]
	return p != nil && p.host.Domain == m.self.Domain
}

func (m *Model) sorted() []*peer {
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.host.Address, b.host.Address) })
	return peers
}

// known returns the next few live entries in turn, without the receiver.
func (m *Model) known(now time.Time, receiver string) []Host {
	var live []*peer
	for _, p := range m.sorted() {
		if p.alive {
			live = append(live, p)
		}
	}
	var known []Host
	for range min(m.limits.Known, len(live)) {
		p := live[m.turn%len(live)]
		m.turn++
		if p.host.Address != receiver {
			known = append(known, p.aged(now))
		}
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
