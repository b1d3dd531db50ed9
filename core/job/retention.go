package job

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

func (m *Model) retain(now time.Time, r *record) {
	size := r.outcome.Size()
	m.retained = append(m.retained, retainedOutcome{
		id:   r.id,
		at:   now,
		size: size,
	})
	m.retainedBytes += size
	m.evict(now)
}

// evict removes the oldest outcomes that exceed the retention limits. The ledger
// keeps their tickets marked as used.
func (m *Model) evict(now time.Time) {
	n := 0
	for ; n < len(m.retained); n++ {
		expired := now.Sub(m.retained[n].at) >= m.retention.Age
		if !expired && m.retainedBytes <= m.retention.Bytes {
			break
		}
		m.retainedBytes -= m.retained[n].size
		delete(m.records, m.retained[n].id)
	}
	m.retained = m.retained[n:]
}

// adopt takes over a sealed incarnation and the right to start jobs under its unused
// tickets. It is idempotent.
func (m *Model) adopt(now time.Time, msg AdoptMsg) []Cmd {
	if existing := m.ledgers[msg.Incarnation]; existing != nil {
		existing.Merge(msg.Ledger)
	} else {
		m.ledgers[msg.Incarnation] = msg.Ledger
	}
	m.adopted[msg.Incarnation] = true
	for _, h := range msg.Outcomes {
		if m.records[h.ID] != nil {
			continue
		}
		r := &record{
			id:          h.ID,
			fingerprint: h.Fingerprint,
			finished:    true,
			outcome:     h.Outcome,
		}
		m.records[h.ID] = r
		m.retain(now, r)
	}
	return nil
}

// Lookup returns the state of the job of a ticket without starting anything.
func (m *Model) Lookup(id ticket.ID) (outcome Outcome, finished, found bool) {
	r := m.records[id]
	if r != nil {
		return r.outcome, r.finished, true
	}
	ledger := m.ledgers[id.Incarnation]
	if ledger != nil && ledger.IsUsed(id.Sequence) {
		return Failed(core.RanMaybe, core.ReasonForgotten), true, true
	}
	return Outcome{}, false, false
}

// Handover returns the ledger and the retained outcomes of an incarnation for the
// successor that adopts it.
func (m *Model) Handover(inc ticket.Incarnation) (*ticket.Ledger, []HandoverEntry) {
	var entries []HandoverEntry
	for _, f := range m.retained {
		r := m.records[f.id]
		if r == nil || f.id.Incarnation != inc {
			continue
		}
		entries = append(entries, HandoverEntry{
			ID:          r.id,
			Fingerprint: r.fingerprint,
			Outcome:     r.outcome,
		})
	}
	return m.ledgers[inc], entries
}
