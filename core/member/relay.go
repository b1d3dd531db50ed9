package member

import (
	"cmp"
	"slices"
	"time"
)

// CompareFitness orders hosts by how well they can work for others: the strongest first,
// and the oldest among equals.
func CompareFitness(a, b Host) int {
	return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.StartedAtMillis, b.StartedAtMillis), cmp.Compare(a.Address, b.Address))
}

// relay is a host that carries news for its failure domain, and since when.
type relay struct {
	rank  int // in its failure domain, from 0
	since time.Time
}

// partial reports whether only relays hear all of a failure domain.
func (m *Model) partial() bool { return m.limits.Relays > 0 }

// elect chooses the relays of each failure domain: its fittest live hosts. A relay
// that stops goes on until it is gone, so that its hosts hear of the stop.
func (m *Model) elect(now time.Time) {
	if !m.partial() {
		return
	}
	elected := map[string]relay{}
	ranks := map[string]int{}
	hosts := m.Live()
	slices.SortFunc(hosts, CompareFitness)
	for _, h := range hosts {
		old, was := m.relays[h.Address]
		since := now
		if was {
			since = old.since
		}
		rank := ranks[h.Domain]
		switch {
		case h.Stopping && was:
		case !h.Stopping && rank < max(m.limits.Relays, m.least):
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

// cycle is the number of periods in which a relay sends heartbeats to each of the
// hosts that hear relays only.
func (m *Model) cycle(hosts int) int {
	return max(1, upTo(hosts, m.limits.RelayFanOut))
}

// upTo returns how many groups of a size a number needs.
func upTo(number, size int) int { return (number + size - 1) / size }

// tolerance is the silence after which a host counts as dead. Relays hear each
// other each period; news of other hosts, and news at those, comes more slowly.
func (m *Model) tolerance(h Host) time.Duration {
	switch {
	case !m.partial(),
		h.Domain != m.self.Domain && (m.isRelay(m.self.Address) || !m.isRelay(h.Address)),
		m.isRelay(m.self.Address) && m.isRelay(h.Address):
		return m.limits.DeadAfter
	case m.isRelay(m.self.Address):
		return m.limits.DeadAfter * time.Duration(m.limits.NonRelayPeriods)
	case m.isRelay(h.Address) && h.Domain == m.self.Domain:
		return m.limits.DeadAfter + time.Duration(m.gap)*m.limits.Period
	}
	return m.limits.DeadAfter*time.Duration(m.limits.NonRelayPeriods) + time.Duration(m.round)*m.limits.Period
}

// silence is the time for which nothing was heard of a host though news of it was
// to be expected.
func (m *Model) silence(now time.Time, p *peer) time.Duration {
	from := p.heard
	for _, address := range []string{p.host.Address, m.self.Address} {
		if r, ok := m.relays[address]; ok && p.alive && r.since.After(from) {
			from = r.since
		}
	}
	return now.Sub(from)
}

// greetings is the number of periods in which a host that was never heard is sent
// a heartbeat each time; from then on it takes turns with others that are silent.
const greetings = 5

// ownTargets returns the hosts of the own failure domain that get a heartbeat in
// this period.
func (m *Model) ownTargets() []string {
	var targets, silent, rest []string
	self, relays := m.isRelay(m.self.Address), 0
	for _, p := range m.sorted() {
		address := p.host.Address
		switch {
		case p.host.Domain == "", p.host.Incarnation == "" && m.period-p.named < greetings:
			targets = append(targets, address)
		case p.host.Domain != m.self.Domain:
		case !p.alive:
			silent = append(silent, address)
		case m.isRelay(address):
			relays++
			if self || (m.period+m.offset)%m.limits.NonRelayPeriods == 0 {
				targets = append(targets, address)
			}
		default:
			rest = append(rest, address)
		}
	}
	cycle := m.cycle(len(rest))
	relays = max(1, relays)
	m.span = cycle
	m.gap = upTo(cycle, relays)
	m.round = cycle * upTo(len(m.relays)+len(rest), max(1, m.limits.EntriesPerHeartbeat))
	if !self {
		return targets
	}
	if len(silent) > 0 {
		targets = append(targets, silent[(m.offset+m.period)%len(silent)])
	}
	shift := m.relays[m.self.Address].rank * cycle / (relays + 1)
	for i, address := range rest {
		if (i+shift+m.period)%cycle == 0 {
			targets = append(targets, address)
		}
	}
	return targets
}

// tells reports whether a receiver is told of a host: foreign failure domains of
// relays only.
func (m *Model) tells(receiver string, h Host) bool {
	switch {
	case h.Address == receiver:
		return false
	case !m.partial():
		return true
	case m.isOwnDomain(receiver):
		return h.Domain == m.self.Domain || m.isRelay(h.Address)
	}
	return h.Domain == m.self.Domain && m.isRelay(h.Address)
}

// news returns what a host of the own failure domain is told besides the entries in
// turn: the foreign hosts that were heard themselves of late, and at a host that
// hears relays only, the other relays. Each foreign host chooses one relay alone, so
// the others learn of it from there; period is the one that has just ended.
func (m *Model) news(now time.Time, period int, receiver string) []Host {
	since := period
	resting := m.partial() && !m.isRelay(receiver)
	if resting {
		since -= m.span - 1
	}
	var news []Host
	for _, p := range m.sorted() {
		foreign := p.host.Domain != m.self.Domain && p.direct >= since
		fellow := resting && p.alive && p.host.Domain == m.self.Domain && m.isRelay(p.host.Address)
		if p.direct > 0 && (foreign || fellow) && p.host.Address != receiver {
			news = append(news, p.aged(now))
		}
	}
	return news
}
