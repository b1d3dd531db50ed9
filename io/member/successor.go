package member

import (
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/wire"
)

// Successor is the host that answers for a stopped incarnation.
type Successor struct {
	Address    string // peer address
	Generation int    // number of hand-overs of the incarnation so far; the highest is current
}

const (
	maxSuccessorsPerBeat = 8    // the newest ones, sent with each heartbeat
	maxSuccessors        = 2000 // enough for several days of planned stops
)

// Successor returns the peer address of the host that answers for an incarnation.
func (f *Fleet) Successor(inc ticket.Incarnation) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	successor, known := f.successors[inc]
	return successor.Address, known
}

// Generation returns the number of hand-overs of an incarnation so far.
func (f *Fleet) Generation(inc ticket.Incarnation) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.successors[inc].Generation
}

// SetSuccessor records which host answers for a stopped incarnation.
func (f *Fleet) SetSuccessor(inc ticket.Incarnation, successor Successor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addSuccessor(inc, successor)
}

// addSuccessor records a successor, and drops the oldest one beyond maxSuccessors. The
// lock must be held.
func (f *Fleet) addSuccessor(inc ticket.Incarnation, successor Successor) {
	old, known := f.successors[inc]
	if known && old.Generation >= successor.Generation {
		return
	}
	if !known {
		f.successorOrder = append(f.successorOrder, inc)
	}
	f.successors[inc] = successor
	if len(f.successorOrder) > maxSuccessors {
		delete(f.successors, f.successorOrder[0])
		f.successorOrder = f.successorOrder[1:]
	}
}

// mergeSuccessors records the successors that a heartbeat carried. The lock must be held.
func (f *Fleet) mergeSuccessors(successors []wire.Successor) {
	for _, h := range successors {
		if inc, err := ticket.ParseIncarnation(h.Host); err == nil {
			f.addSuccessor(inc, Successor{
				Address:    h.Address,
				Generation: h.Turn,
			})
		}
	}
}
