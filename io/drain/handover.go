package drain

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/member"
	"rosemarywalk/io/wire"
)

const (
	// partBytes bounds one part of a hand-over.
	partBytes = 4 << 20
	// tryPause is the pause before the same part is sent again.
	tryPause = 200 * time.Millisecond
	// tryTimeout bounds one try.
	tryTimeout = 3 * time.Second
)

// handOver gives all that this host answers for to exactly one peer. Once a
// part was sent, no other peer is tried: two successors could start a ticket twice.
func (s *stopper) handOver(ctx context.Context) {
	successors := s.Fleet.Successors()
	if len(successors) == 0 {
		s.log.Info("no hand-over, there is no peer")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.handover)
	defer cancel()
	for _, snapshot := range s.Dispatcher.Seal() {
		s.handOverOne(ctx, successors[0].Address, snapshot)
	}
}

func (s *stopper) handOverOne(ctx context.Context, to string, snapshot dispatch.Snapshot) {
	turn := s.Fleet.Turns(snapshot.Incarnation) + 1
	list, err := parts(snapshot, turn)
	if err != nil {
		s.log.Error(err, "no hand-over", "incarnation", snapshot.Incarnation.String())
		return
	}
	for _, part := range list {
		if !s.deliver(ctx, to, part) {
			s.log.Info("hand-over is unclear", "successor", to, "incarnation", snapshot.Incarnation.String())
			return
		}
	}
	s.Fleet.SetSuccessor(snapshot.Incarnation, member.Successor{
		Address: to,
		Turn:    turn,
	})
	s.log.Info("handed over", "successor", to, "tickets", snapshot.Ledger.Count(), "answers", len(snapshot.Held))
}

// deliver sends one part to one peer until it is acknowledged.
func (s *stopper) deliver(ctx context.Context, to string, part wire.Handover) bool {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		answer, err := s.Links.Call(try, to, wire.Frame{Handover: &part})
		cancel()
		if err == nil && answer.Reply != nil {
			return true
		}
		pause(ctx, tryPause)
	}
	return false
}

// parts splits a hand-over. Each part has the whole ledger, so that a successor
// with only some of the parts never takes a used ticket for an unused one.
func parts(snapshot dispatch.Snapshot, turn int) ([]wire.Handover, error) {
	ledger, err := snapshot.Ledger.Bytes()
	if err != nil {
		return nil, errors.Trace(err)
	}
	fresh := func() wire.Handover {
		return wire.Handover{
			Host:   snapshot.Incarnation.String(),
			Ledger: ledger,
			Turn:   turn,
		}
	}
	list := []wire.Handover{fresh()}
	size := 0
	for _, h := range snapshot.Held {
		if size > partBytes {
			list = append(list, fresh())
			size = 0
		}
		last := &list[len(list)-1]
		last.Held = append(last.Held, wireOf(h))
		size += h.Outcome.Size()
	}
	return list, nil
}

func wireOf(h job.HandoverEntry) wire.Held {
	held := wire.Held{
		Sequence: int(h.ID.Sequence),
		Print:    int(int64(h.Fingerprint)),
		Complete: h.Outcome.Complete,
		Ran:      string(h.Outcome.Ran),
		Reason:   string(h.Outcome.Reason),
	}
	for _, a := range h.Outcome.Answers {
		held.Answers = append(held.Answers, wire.Answer{
			Status: a.Status,
			Kind:   a.Type,
			Body:   a.Body,
		})
	}
	for _, f := range h.Outcome.Failures {
		held.Faults = append(held.Faults, wire.Fault{
			Task:   f.Index,
			Server: f.Server,
			Ran:    string(f.Ran),
			Reason: string(f.Reason),
		})
	}
	return held
}

func heldOf(inc ticket.Incarnation, w wire.Held) job.HandoverEntry {
	held := job.HandoverEntry{
		ID: ticket.ID{
			Incarnation: inc,
			Sequence:    uint64(w.Sequence),
		},
		Fingerprint: uint64(int64(w.Print)),
		Outcome: job.Outcome{
			Complete: w.Complete,
			Ran:      core.Ran(w.Ran),
			Reason:   core.Reason(w.Reason),
		},
	}
	for _, a := range w.Answers {
		held.Outcome.Answers = append(held.Outcome.Answers, job.Answer{
			Status: a.Status,
			Type:   a.Kind,
			Body:   a.Body,
		})
	}
	for _, f := range w.Faults {
		held.Outcome.Failures = append(held.Outcome.Failures, job.Failure{
			Index:  f.Task,
			Server: f.Server,
			Ran:    core.Ran(f.Ran),
			Reason: core.Reason(f.Reason),
		})
	}
	return held
}

// successor takes hand-overs from other hosts.
type successor struct {
	dispatcher *dispatch.Dispatcher
	fleet      *member.Fleet
	address    string
	log        logr.Logger
}

func (h *successor) serve(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	inc, err := ticket.ParseIncarnation(f.Handover.Host)
	if err != nil {
		return wire.Frame{}, false
	}
	ledger, err := ticket.ReadLedger(f.Handover.Ledger)
	if err != nil {
		h.log.Error(err, "hand-over can't be read", "from", f.Handover.Host)
		return wire.Frame{}, false
	}
	held := make([]job.HandoverEntry, 0, len(f.Handover.Held))
	for _, w := range f.Handover.Held {
		held = append(held, heldOf(inc, w))
	}
	h.dispatcher.Adopt(inc, ledger, held)
	h.fleet.SetSuccessor(inc, member.Successor{
		Address: h.address,
		Turn:    f.Handover.Turn,
	})
	h.log.Info("took over", "from", f.Handover.Host, "tickets", ledger.Count(), "answers", len(held))
	return wire.Frame{Reply: &wire.Reply{}}, true
}
