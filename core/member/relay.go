package member

import (
	"cmp"
	"slices"
	"time"
)

// CompareFitness compares hosts by their fitness for coordination work: the host with the
// most cores first, the one with the longest uptime among equals.
func CompareFitness(a, b Host) int {
	return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.StartedAtMillis, b.StartedAtMillis), cmp.Compare(a.Address, b.Address))
}

// FirstHome returns the peer address of the fittest host in a failure domain that is not
// shutting down, or "".
func FirstHome(hosts []Host, domain string) string {
	var first Host
	for _, h := range hosts {
		if h.Domain == domain && !h.Stopping && (first.Address == "" || CompareFitness(h, first) < 0) {
			first = h
		}
	}
	return first.Address
}

// relay describes a host that forwards entries for its failure domain.
type relay struct {
	rank  int       // among the relays of its failure domain, starting at 0
	since time.Time // when it became a relay
}

// usesRelays reports whether only relays exchange heartbeats with all hosts of their
// failure domain.
func (m *Model) usesRelays() bool { return m.limits.Relays > 0 }

// electRelays selects the relays of each failure domain: its fittest live hosts. A
// relay that shuts down remains one until it is gone, so that the hosts of its domain
// learn of the shutdown.
func (m *Model) electRelays(now time.Time) {
	if !m.usesRelays() {
		return
	}
	elected := map[string]relay{}
	ranks := map[string]int{}
	hosts := m.Live()
	slices.SortFunc(hosts, CompareFitness)
	for _, h := range hosts {
		previous, wasRelay := m.relays[h.Address]
		since := now
		if wasRelay {
			since = previous.since
		}
		rank := ranks[h.Domain]
		switch {
		case h.Stopping && wasRelay:
		case !h.Stopping && rank < max(m.limits.Relays, m.minRelays):
			ranks[h.Domain]++
		default:
			continue
		}
		elected[h.Address] = relay{
			rank:  rank,
			since: since,
		}
	}
	m.relays = elected
}

// isRelay reports whether a host is a relay of its failure domain.
func (m *Model) isRelay(address string) bool {
	_, ok := m.relays[address]
	return ok
}

// cycleLength returns the number of periods in which a relay sends a heartbeat to each
// of a number of non-relays.
func (m *Model) cycleLength(hosts int) int {
	return max(1, ceilDiv(hosts, m.limits.RelayFanOut))
}

// ceilDiv returns number divided by size, rounded up.
func ceilDiv(number, size int) int { return (number + size - 1) / size }

// deadTimeout returns the time without heartbeats after which a host counts as dead.
// Relays exchange heartbeats each period; entries of non-relays, and entries received
// by non-relays, arrive less often.
func (m *Model) deadTimeout(h Host) time.Duration {
	switch {
	case !m.usesRelays(),
		h.Domain != m.self.Domain && (m.isRelay(m.self.Address) || !m.isRelay(h.Address)),
		m.isRelay(m.self.Address) && m.isRelay(h.Address):
		return m.limits.DeadAfter
	case m.isRelay(m.self.Address):
		return m.limits.DeadAfter * time.Duration(m.limits.NonRelayPeriods)
	case m.isRelay(h.Address) && h.Domain == m.self.Domain:
		return m.limits.DeadAfter + time.Duration(m.relayGap)*m.limits.Period
	}
	return m.limits.DeadAfter*time.Duration(m.limits.NonRelayPeriods) + time.Duration(m.gossipRound)*m.limits.Period
}

// silentFor returns the time for which no entry of a host was received. For a live host
// it starts no earlier than the election of the host or of this one as a relay, because
// entries arrived less often before, and no earlier than the end of a pause of this process.
func (m *Model) silentFor(now time.Time, p *peer) time.Duration {
	from := p.lastHeard
	for _, address := range []string{p.host.Address, m.self.Address} {
		if r, ok := m.relays[address]; ok && p.alive && r.since.After(from) {
			from = r.since
		}
	}
	if p.alive && m.resumedAt.After(from) {
		from = m.resumedAt
	}
	return now.Sub(from)
}

// initialHeartbeats is the number of periods in which a seed that never sent a heartbeat
// gets one each period. After that it takes turns with the other silent hosts.
const initialHeartbeats = 5

// ownDomainTargets returns the hosts of the own failure domain, and the seeds, that get
// a heartbeat in this period if relays are used.
func (m *Model) ownDomainTargets() []string {
	var targets, silent, nonRelays []string
	selfIsRelay, relays := m.isRelay(m.self.Address), 0
	due := m.isDue()
	for _, p := range m.sorted() {
		address := p.host.Address
		switch {
		case p.host.Domain == "", p.host.Incarnation == "" && m.period-p.seedPeriod < initialHeartbeats:
			targets = append(targets, address)
		case p.host.Domain != m.self.Domain:
		case !p.alive:
			silent = append(silent, address)
		case m.isRelay(address):
			relays++
			if selfIsRelay || due {
				targets = append(targets, address)
			}
		default:
			nonRelays = append(nonRelays, address)
		}
	}
	cycle := m.cycleLength(len(nonRelays))
	relays = max(1, relays)
	m.relayCycle = cycle
	m.relayGap = ceilDiv(cycle, relays)
	m.gossipRound = cycle * ceilDiv(len(m.relays)+len(nonRelays), max(1, m.limits.EntriesPerHeartbeat))
	if !selfIsRelay {
		return targets
	}
	if len(silent) > 0 {
		targets = append(targets, silent[(m.turnOffset+m.period)%len(silent)])
	}
	shift := m.relays[m.self.Address].rank * cycle / (relays + 1)
	for i, address := range nonRelays {
		if (i+shift+m.period)%cycle == 0 {
			targets = append(targets, address)
		}
	}
	return targets
}

// isDue reports whether a non-relay sends heartbeats to the relays in this period: each few
// periods, or as it takes another host as the first home than it told them, so that homes
// don't lack its votes until its turn.
func (m *Model) isDue() bool {
	home := m.FirstHome()
	due := (m.period+m.turnOffset)%m.limits.NonRelayPeriods == 0 || (m.limits.RevoteSoon && home != m.votedFor)
	if due {
		m.votedFor = home
	}
	return due
}

// shouldSend reports whether a receiver gets the entry of a host. If relays are used,
// only entries of relays cross failure domains.
func (m *Model) shouldSend(receiver string, h Host) bool {
	switch {
	case h.Address == receiver:
		return false
	case !m.usesRelays():
		return true
	case m.isOwnDomain(receiver):
		return h.Domain == m.self.Domain || m.isRelay(h.Address)
	}
	return h.Domain == m.self.Domain && m.isRelay(h.Address)
}

// extraEntries returns the entries that a host of the own failure domain gets in
// addition to those in turn: foreign hosts that recently sent a heartbeat themselves,
// and, for a non-relay, the other relays. Each foreign host sends to a single relay,
// from which the others must learn of it. endedPeriod is the period that just ended.
func (m *Model) extraEntries(now time.Time, endedPeriod int, receiver string) []Host {
	since := endedPeriod
	toNonRelay := m.usesRelays() && !m.isRelay(receiver)
	if toNonRelay {
		since -= m.relayCycle - 1
	}
	var entries []Host
	for _, p := range m.sorted() {
		foreign := p.host.Domain != m.self.Domain && p.directPeriod >= since
		otherRelay := toNonRelay && p.alive && p.host.Domain == m.self.Domain && m.isRelay(p.host.Address)
		if p.directPeriod > 0 && (foreign || otherRelay) && p.host.Address != receiver {
			entries = append(entries, p.withAge(now))
		}
	}
	return entries
}
