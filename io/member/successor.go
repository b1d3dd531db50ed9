package member

import (
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/wire"
)

// Successor is the host that answers for a stopped incarnation.
type Successor struct {
	Address string // peer address
	Turn    int    // hand-overs that the incarnation has been through
}

const (
	successorsSent = 8    // the newest ones ride on each heartbeat
	successorsKept = 2000 // several days of planned stops
)

// Successor returns the peer address of the host that answers for an incarnation.
func (f *Fleet) Successor(inc ticket.Incarnation) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	successor, known := f.successors[inc]
	return successor.Address, known
}

// Turns returns how many hand-overs an incarnation has been through.
func (f *Fleet) Turns(inc ticket.Incarnation) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.successors[inc].Turn
}

// SetSuccessor notes which host answers for a stopped incarnation.
func (f *Fleet) SetSuccessor(inc ticket.Incarnation, successor Successor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addSuccessor(inc, successor)
}

// addSuccessor runs under the lock and forgets the oldest beyond a bound.
func (f *Fleet) addSuccessor(inc ticket.Incarnation, successor Successor) {
	old, known := f.successors[inc]
	if known && old.Turn >= successor.Turn {
		return
	}
	if !known {
		f.recent = append(f.recent, inc)
	}
	f.successors[inc] = successor
	if len(f.recent) > successorsKept {
		delete(f.successors, f.recent[0])
		f.recent = f.recent[1:]
	}
}

// learnSuccessors runs under the lock.
func (f *Fleet) learnSuccessors(successors []wire.Successor) {
	for _, h := range successors {
		if inc, err := ticket.ParseIncarnation(h.Host); err == nil {
			f.addSuccessor(inc, Successor{
				Address: h.Address,
				Turn:    h.Turn,
			})
		}
	}
}
