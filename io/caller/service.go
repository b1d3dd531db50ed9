package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
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
	verbTickets = "tickets"
)

// Peers sends a frame to another host and waits for the answer.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
}

// Fleet knows which host answers for a stopped incarnation, and which one
// queues for a service.
type Fleet interface {
	Successor(inc ticket.Incarnation) (address string, known bool)
	Home(service string) (address string, own bool)
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
	fleet      Fleet
	owners     Owners
	counters   *telemetry.Counters
	limits     Limits
	cache      *cache
	last       atomic.Value // string: the service that callers here used last
}

// NewService returns a Service.
func NewService(key ticket.Key, d *dispatch.Dispatcher, peers Peers, fleet Fleet, owners Owners, counters *telemetry.Counters, limits Limits) *Service {
	s := &Service{
		key:        key,
		dispatcher: d,
		peers:      peers,
		fleet:      fleet,
		owners:     owners,
		counters:   counters,
		limits:     limits,
	}
	s.cache = newCache(s.fetch)
	return s
}

// Tickets returns n fresh tickets for a service, issued by its home, or by
// this host when the home can't be asked. Without a service it is the one that
// callers used here last.
func (s *Service) Tickets(ctx context.Context, service string, n int) ([]string, error) {
	if service == "" {
		service, _ = s.last.Load().(string)
	}
	if service == "" {
		return s.own(n)
	}
	address, own := s.fleet.Home(service)
	if own {
		return s.own(n)
	}
	if tickets, ok := s.cache.take(ctx, address, service, n); ok {
		return tickets, nil
	}
	return s.own(n)
}

// own returns n fresh tickets of this host.
func (s *Service) own(n int) ([]string, error) {
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

// fetch asks another host for tickets of its own.
func (s *Service) fetch(ctx context.Context, address, service string, n int) ([]string, error) {
	s.counters.Messages("tickets", 1)
	answer, err := s.peers.Call(ctx, address, wire.Frame{Call: &wire.Call{
		Verb:    verbTickets,
		Service: service,
		Count:   n,
	}})
	if err != nil {
		return nil, errors.Annotate(err, "fetch tickets")
	}
	if answer.Reply == nil || answer.Reply.Status != http.StatusOK {
		return nil, errors.New("the home gave no tickets")
	}
	var body ticketsBody
	if err := json.Unmarshal(answer.Reply.Body, &body); err != nil || len(body.Tickets) != n {
		return nil, errors.New("the home gave other tickets than asked for")
	}
	return body.Tickets, nil
}

// serveTickets gives tickets of this host to another one.
func (s *Service) serveTickets(n int) Response {
	if n < 1 || n > ticketsMost+cacheBatch {
		return invalid(http.StatusBadRequest, errors.NotValidf("count %d", n))
	}
	tickets, err := s.own(n)
	if err != nil {
		return invalid(http.StatusInternalServerError, err)
	}
	return respond(http.StatusOK, ticketsBody{Tickets: tickets})
}

// Do carries out one call, forwarding it to the ticket's owner if need be.
func (s *Service) Do(ctx context.Context, call wire.Call) Response {
	t, err := s.key.Decode(call.Ticket)
	if err != nil {
		return invalid(ticketStatus(err), err)
	}
	switch s.dispatcher.Ownership(t.ID.Incarnation) {
	case dispatch.Owned:
		return s.local(ctx, t, call)
	case dispatch.Sealed:
		if _, known := s.fleet.Successor(t.ID.Incarnation); !known {
			return s.unreachable()
		}
	case dispatch.Foreign:
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
	if sub.Service != "" {
		s.last.Store(sub.Service)
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
	outcome, finished, known := s.dispatcher.Lookup(ctx, t.ID)
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

// forward sends a call to the ticket's owner, or to the owner's successor. Sending
// it twice is harmless: the owner runs a ticket once.
func (s *Service) forward(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	address := t.Address
	if successor, known := s.fleet.Successor(t.ID.Incarnation); known {
		address = successor
	}
	for range hopsMost {
		reply, err := s.call(ctx, address, call)
		switch {
		case err != nil:
			return s.failedCall(ctx, address)
		case reply.Status != 0:
			return Response{
				Status: reply.Status,
				Kind:   reply.Kind,
				Body:   reply.Body,
				After:  time.Duration(reply.After) * time.Millisecond,
			}
		case reply.Successor == "" || reply.Successor == address:
			return s.lost()
		}
		address = reply.Successor
	}
	return s.unreachable()
}

// failedCall keeps this host from handing out the other one's tickets, unless
// it was the caller that left.
func (s *Service) failedCall(ctx context.Context, address string) Response {
	if ctx.Err() == nil {
		s.cache.avoid(address)
	}
	return s.unreachable()
}

// hopsMost bounds the chain of successors that a call follows.
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
	if f.Call.Verb == verbTickets {
		return frame(s.serveTickets(f.Call.Count)), true
	}
	t, err := s.key.Decode(f.Call.Ticket)
	if err != nil {
		return frame(invalid(ticketStatus(err), err)), true
	}
	successor, known := s.fleet.Successor(t.ID.Incarnation)
	switch s.dispatcher.Ownership(t.ID.Incarnation) {
	case dispatch.Owned:
		return frame(s.local(ctx, t, *f.Call)), true
	case dispatch.Sealed:
		if !known {
			return frame(s.unreachable()), true
		}
	case dispatch.Foreign:
	}
	return wire.Frame{Reply: &wire.Reply{Successor: successor}}, true
}

func frame(r Response) wire.Frame {
	return wire.Frame{Reply: &wire.Reply{
		Status: r.Status,
		Kind:   r.Kind,
		Body:   r.Body,
		After:  int(r.After / time.Millisecond),
	}}
}
