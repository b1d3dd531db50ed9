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
	// maxPartBytes is the size of held outcomes beyond which a hand-over starts a new part.
	maxPartBytes = 4 << 20
	// retryDelay is the delay before a part is sent again.
	retryDelay = 200 * time.Millisecond
	// attemptTimeout bounds one attempt to send a part.
	attemptTimeout = 3 * time.Second
)

// handOver transfers everything that this host answers for to exactly one peer. Once a
// part was sent, no other peer is tried, because two successors could both start the same
// ticket.
func (s *drainer) handOver(ctx context.Context) {
	successors := s.Fleet.Successors()
	if len(successors) == 0 {
		s.log.Info("hand-over skipped: no live peer")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.handover)
	defer cancel()
	for _, snapshot := range s.Dispatcher.Seal() {
		s.handOverIncarnation(ctx, successors[0].Address, snapshot)
	}
}

func (s *drainer) handOverIncarnation(ctx context.Context, to string, snapshot dispatch.Snapshot) {
	generation := s.Fleet.Generation(snapshot.Incarnation) + 1
	handoverParts, err := splitHandover(snapshot, generation)
	if err != nil {
		s.log.Error(err, "hand-over could not be encoded", "incarnation", snapshot.Incarnation.String())
		return
	}
	for _, part := range handoverParts {
		if !s.sendPart(ctx, to, part) {
			s.log.Info("hand-over not acknowledged by the successor", "successor", to, "incarnation", snapshot.Incarnation.String())
			return
		}
	}
	s.Fleet.SetSuccessor(snapshot.Incarnation, member.Successor{
		Address:    to,
		Generation: generation,
	})
	s.log.Info("hand-over acknowledged by the successor", "successor", to, "tickets", snapshot.Ledger.Count(), "answers", len(snapshot.Held))
}

// sendPart sends one part to a peer until it is acknowledged or ctx ends.
func (s *drainer) sendPart(ctx context.Context, to string, part wire.Handover) bool {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		answer, err := s.Links.Call(attemptCtx, to, wire.Frame{Handover: &part})
		cancel()
		if err == nil && answer.Reply != nil {
			return true
		}
		sleep(ctx, retryDelay)
	}
	return false
}

// splitHandover splits a hand-over into parts. Each part has the complete ledger, so that a
// successor which received only some of them never takes a used ticket for an unused one.
func splitHandover(snapshot dispatch.Snapshot, generation int) ([]wire.Handover, error) {
	ledger, err := snapshot.Ledger.Bytes()
	if err != nil {
		return nil, errors.Trace(err)
	}
	newPart := func() wire.Handover {
		return wire.Handover{
			Host:   snapshot.Incarnation.String(),
			Ledger: ledger,
			Turn:   generation,
		}
	}
	list := []wire.Handover{newPart()}
	size := 0
	for _, h := range snapshot.Held {
		if size > maxPartBytes {
			list = append(list, newPart())
			size = 0
		}
		last := &list[len(list)-1]
		last.Held = append(last.Held, encodeHeld(h))
		size += h.Outcome.Size()
	}
	return list, nil
}

func encodeHeld(h job.HandoverEntry) wire.Held {
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
			Kind:   a.ContentType,
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

func decodeHeld(inc ticket.Incarnation, w wire.Held) job.HandoverEntry {
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
			Status:      a.Status,
			ContentType: a.Kind,
			Body:        a.Body,
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

// handoverReceiver accepts hand-overs from other hosts.
type handoverReceiver struct {
	dispatcher *dispatch.Dispatcher
	fleet      *member.Fleet
	address    string
	log        logr.Logger
}

func (h *handoverReceiver) serve(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	inc, err := ticket.ParseIncarnation(f.Handover.Host)
	if err != nil {
		return wire.Frame{}, false
	}
	ledger, err := ticket.ReadLedger(f.Handover.Ledger)
	if err != nil {
		h.log.Error(err, "hand-over could not be decoded", "from", f.Handover.Host)
		return wire.Frame{}, false
	}
	held := make([]job.HandoverEntry, 0, len(f.Handover.Held))
	for _, w := range f.Handover.Held {
		held = append(held, decodeHeld(inc, w))
	}
	h.dispatcher.Adopt(inc, ledger, held)
	h.fleet.SetSuccessor(inc, member.Successor{
		Address:    h.address,
		Generation: f.Handover.Turn,
	})
	h.log.Info("hand-over accepted", "from", f.Handover.Host, "tickets", ledger.Count(), "answers", len(held))
	return wire.Frame{Reply: &wire.Reply{}}, true
}
