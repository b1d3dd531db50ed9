package job

import (
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/ticket"
)

func (m *Model) hold(now time.Time, r *record) {
	size := r.outcome.Size()
	m.held = append(m.held, finished{
		id:   r.id,
		at:   now,
		size: size,
	})
	m.heldBytes += size
	m.evict(now)
}

// evict drops the oldest answers; the ledger still knows that they ran.
func (m *Model) evict(now time.Time) {
	n := 0
	for ; n < len(m.held); n++ {
		old := now.Sub(m.held[n].at) >= m.retention.Age
		if !old && m.heldBytes <= m.retention.Bytes {
			break
		}
		m.heldBytes -= m.held[n].size
		delete(m.records, m.held[n].id)
	}
	m.held = m.held[n:]
}

// adopt takes over a sealed incarnation, with the right to start its unused
// tickets; repeating it is harmless.
func (m *Model) adopt(now time.Time, msg AdoptMsg) []Cmd {
	if own := m.ledgers[msg.Incarnation]; own != nil {
		own.Merge(msg.Ledger)
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
		m.hold(now, r)
	}
	return nil
}

// Look returns what is known of a ticket, without starting anything.
func (m *Model) Look(id ticket.ID) (outcome Outcome, finished, known bool) {
	r := m.records[id]
	if r != nil {
		return r.outcome, r.finished, true
	}
	ledger := m.ledgers[id.Incarnation]
	if ledger != nil && ledger.Spent(id.Sequence) {
		return Failed(core.RanMaybe, core.ReasonForgotten), true, true
	}
	return Outcome{}, false, false
}

// Handover returns the ledger and held outcomes of an incarnation for its successor.
func (m *Model) Handover(inc ticket.Incarnation) (*ticket.Ledger, []HandoverEntry) {
	var held []HandoverEntry
	for _, f := range m.held {
		r := m.records[f.id]
		if r == nil || f.id.Incarnation != inc {
			continue
		}
		held = append(held, HandoverEntry{
			ID:          r.id,
			Fingerprint: r.fingerprint,
			Outcome:     r.outcome,
		})
	}
	return m.ledgers[inc], held
}
