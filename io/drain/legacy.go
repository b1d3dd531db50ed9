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
	// legacyBytes bounds one part of a hand-over.
	legacyBytes = 4 << 20
	// legacyPause is the pause before the same part is sent again.
	legacyPause = 200 * time.Millisecond
	// legacyTry bounds one try.
	legacyTry = 3 * time.Second
)

// handOver gives all that this host answers for to exactly one peer. Once a
// part was sent, no other peer is tried: two heirs could start a ticket twice.
func (s *stopper) handOver(ctx context.Context) {
	heirs := s.Fleet.Heirs()
	if len(heirs) == 0 {
		s.log.Info("no hand-over, there is no peer")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.handover)
	defer cancel()
	for _, estate := range s.Dispatcher.Seal() {
		s.handOverOne(ctx, heirs[0].Address, estate)
	}
}

func (s *stopper) handOverOne(ctx context.Context, to string, estate dispatch.Estate) {
	turn := s.Fleet.Turns(estate.Incarnation) + 1
	list, err := parts(estate, turn)
	if err != nil {
		s.log.Error(err, "no hand-over", "incarnation", estate.Incarnation.String())
		return
	}
	for _, part := range list {
		if !s.deliver(ctx, to, part) {
			s.log.Info("hand-over is unclear", "heir", to, "incarnation", estate.Incarnation.String())
			return
		}
	}
	s.Fleet.SetHeir(estate.Incarnation, member.Heir{
		Address: to,
		Turn:    turn,
	})
	s.log.Info("handed over", "heir", to, "tickets", estate.Ledger.Count(), "answers", len(estate.Held))
}

// deliver sends one part to one peer until it is acknowledged.
func (s *stopper) deliver(ctx context.Context, to string, part wire.Legacy) bool {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, legacyTry)
		answer, err := s.Links.Call(try, to, wire.Frame{Legacy: &part})
		cancel()
		if err == nil && answer.Reply != nil {
			return true
		}
		pause(ctx, legacyPause)
	}
	return false
}

// parts splits a hand-over. Each part has the whole ledger, so that an heir
// with only some of the parts never takes a used ticket for an unused one.
func parts(estate dispatch.Estate, turn int) ([]wire.Legacy, error) {
	ledger, err := estate.Ledger.Bytes()
	if err != nil {
		return nil, errors.Trace(err)
	}
	fresh := func() wire.Legacy {
		return wire.Legacy{
			Host:   estate.Incarnation.String(),
			Ledger: ledger,
			Turn:   turn,
		}
	}
	list := []wire.Legacy{fresh()}
	size := 0
	for _, h := range estate.Held {
		if size > legacyBytes {
			list = append(list, fresh())
			size = 0
		}
		last := &list[len(list)-1]
		last.Held = append(last.Held, wireOf(h))
		size += h.Outcome.Size()
	}
	return list, nil
}

func wireOf(h job.Held) wire.Held {
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

func heldOf(inc ticket.Incarnation, w wire.Held) job.Held {
	held := job.Held{
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

// heir takes hand-overs from other hosts.
type heir struct {
	dispatcher *dispatch.Dispatcher
	fleet      *member.Fleet
	address    string
	log        logr.Logger
}

func (h *heir) serve(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	inc, err := ticket.ParseIncarnation(f.Legacy.Host)
	if err != nil {
		return wire.Frame{}, false
	}
	ledger, err := ticket.ReadLedger(f.Legacy.Ledger)
	if err != nil {
		h.log.Error(err, "hand-over can't be read", "from", f.Legacy.Host)
		return wire.Frame{}, false
	}
	held := make([]job.Held, 0, len(f.Legacy.Held))
	for _, w := range f.Legacy.Held {
		held = append(held, heldOf(inc, w))
	}
	h.dispatcher.Adopt(inc, ledger, held)
	h.fleet.SetHeir(inc, member.Heir{
		Address: h.address,
		Turn:    f.Legacy.Turn,
	})
	h.log.Info("took over", "from", f.Legacy.Host, "tickets", ledger.Count(), "answers", len(held))
	return wire.Frame{Reply: &wire.Reply{}}, true
}
