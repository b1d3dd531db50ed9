package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// The verbs of a call between hosts.
const (
	verbSubmit  = "submit"
	verbRequest = "request"
	verbLook    = "look"
	verbCancel  = "cancel"
	verbExplain = "explain"
)

// Peers sends a frame to another host and waits for the answer.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
}

// Heirs knows which host answers for a stopped incarnation.
type Heirs interface {
	Heir(inc ticket.Incarnation) (address string, known bool)
}

// Owners tells which team owns a service, from the configuration in force.
type Owners interface {
	Owner(service string) string
}

// Service does what callers ask, here or at the owner of the ticket.
type Service struct {
	key        ticket.Key
	dispatcher *dispatch.Dispatcher
	peers      Peers
	heirs      Heirs
	owners     Owners
	counters   *telemetry.Counters
	limits     Limits
}

// NewService returns a Service.
func NewService(key ticket.Key, d *dispatch.Dispatcher, peers Peers, heirs Heirs, owners Owners, counters *telemetry.Counters, limits Limits) *Service {
	return &Service{
		key:        key,
		dispatcher: d,
		peers:      peers,
		heirs:      heirs,
		owners:     owners,
		counters:   counters,
		limits:     limits,
	}
}

// Tickets returns n fresh tickets of this host.
func (s *Service) Tickets(n int) ([]string, error) {
	tickets := make([]string, 0, n)
	for range n {
		text, err := s.key.Encode(s.dispatcher.Issue())
		if err != nil {
			return nil, errors.Trace(err)
		}
		tickets = append(tickets, text)
	}
	return tickets, nil
}

// Do carries out one call, forwarding it to the ticket's owner if need be.
func (s *Service) Do(ctx context.Context, call wire.Call) Response {
	t, err := s.key.Decode(call.Ticket)
	if err != nil {
		return invalid(ticketStatus(err), err)
	}
	if s.dispatcher.Owns(t.ID.Incarnation) {
		return s.local(ctx, t, call)
	}
	// Bad input is refused here; the owner need not see it.
	if _, err := s.parse(call); err != nil {
		return invalid(http.StatusBadRequest, err)
	}
	return s.forward(ctx, t, call)
}

func ticketStatus(err error) int {
	if errors.Is(err, ticket.ErrForged) {
		return http.StatusForbidden
	}
	return http.StatusBadRequest
}

func (s *Service) parse(call wire.Call) (dispatch.Submission, error) {
	var sub dispatch.Submission
	switch call.Verb {
	case verbSubmit:
		var err error
		if sub, err = parseJob(call.Body, s.limits); err != nil {
			return sub, err
		}
	case verbRequest:
		sub = parseRequest(call.Service, call.Kind, call.Once, call.Body, s.limits)
	}
	if sub.Team == "" {
		sub.Team = s.owners.Owner(sub.Service)
	}
	return sub, nil
}

// local carries out a call for a ticket that this host answers for.
func (s *Service) local(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	switch call.Verb {
	case verbSubmit, verbRequest:
		return s.submit(ctx, t, call)
	case verbLook:
		return s.look(ctx, t, time.Duration(call.Wait)*time.Millisecond)
	case verbCancel:
		s.dispatcher.Cancel(t.ID)
		return s.look(ctx, t, cancelWait)
	case verbExplain:
		return s.explain(t)
	}
	return invalid(http.StatusBadRequest, errors.NotValidf("verb %q", call.Verb))
}

// cancelWait lets a canceled job settle before it is looked at.
const cancelWait = 100 * time.Millisecond

func (s *Service) submit(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	sub, err := s.parse(call)
	if err != nil {
		return invalid(http.StatusBadRequest, err)
	}
	outcome, ok := s.dispatcher.Submit(ctx, t.ID, sub)
	switch {
	case !ok:
		return running()
	case sub.Raw:
		return rawOf(outcome)
	}
	return outcomeOf(outcome)
}

func (s *Service) look(ctx context.Context, t ticket.Ticket, timeout time.Duration) Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, finished, known := s.dispatcher.Look(ctx, t.ID)
	switch {
	case !known:
		return unused()
	case !finished:
		return running()
	}
	return outcomeOf(outcome)
}

// explainBody is the record of a job.
type explainBody struct {
	Events  []dispatch.Event `json:"events"`
	Dropped int              `json:"dropped"` // events beyond the bound
}

func (s *Service) explain(t ticket.Ticket) Response {
	events, dropped, known := s.dispatcher.Explain(t.ID)
	if !known {
		return unused()
	}
	return respond(http.StatusOK, explainBody{
		Events:  events,
		Dropped: dropped,
	})
}

// forward sends a call to the ticket's owner, or to the owner's heir. Sending
// it twice is harmless: the owner runs a ticket once.
func (s *Service) forward(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	address := t.Address
	if heir, known := s.heirs.Heir(t.ID.Incarnation); known {
		address = heir
	}
	for range hopsMost {
		reply, err := s.call(ctx, address, call)
		switch {
		case err != nil:
			return s.unreachable()
		case reply.Status != 0:
			return Response{
				Status: reply.Status,
				Kind:   reply.Kind,
				Body:   reply.Body,
				After:  time.Duration(reply.After) * time.Millisecond,
			}
		case reply.Heir == "" || reply.Heir == address:
			return s.lost()
		}
		address = reply.Heir
	}
	return s.unreachable()
}

// hopsMost bounds the chain of heirs that a call follows.
const hopsMost = 4

func (s *Service) call(ctx context.Context, address string, call wire.Call) (*wire.Reply, error) {
	f := wire.Frame{Call: &call}
	answer, err := s.peers.Call(ctx, address, f)
	if err != nil && ctx.Err() == nil {
		s.counters.Retried(core.ReasonLink)
		answer, err = s.peers.Call(ctx, address, f)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if answer.Reply == nil {
		return nil, errors.Trace(peer.ErrBroken)
	}
	return answer.Reply, nil
}

// unreachable can't say "not run": an earlier try may have reached the owner.
func (s *Service) unreachable() Response {
	s.counters.Failed(core.ReasonUnreachable)
	return failed(job.Failed(core.RanMaybe, core.ReasonUnreachable))
}

func (s *Service) lost() Response {
	s.counters.Failed(core.ReasonLost)
	return failed(job.Failed(core.RanMaybe, core.ReasonLost))
}

// Serve answers a call that another host forwarded; it never forwards again.
func (s *Service) Serve(ctx context.Context, f wire.Frame) (wire.Frame, bool) {
	t, err := s.key.Decode(f.Call.Ticket)
	if err != nil {
		return frame(invalid(ticketStatus(err), err)), true
	}
	if s.dispatcher.Owns(t.ID.Incarnation) {
		return frame(s.local(ctx, t, *f.Call)), true
	}
	heir, _ := s.heirs.Heir(t.ID.Incarnation)
	return wire.Frame{Reply: &wire.Reply{Heir: heir}}, true
}

func frame(r Response) wire.Frame {
	return wire.Frame{Reply: &wire.Reply{
		Status: r.Status,
		Kind:   r.Kind,
		Body:   r.Body,
		After:  int(r.After / time.Millisecond),
	}}
}
