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

// The verbs of calls between hosts.
const (
	verbSubmit  = "submit"
	verbRequest = "request"
	verbLook    = "look"
	verbCancel  = "cancel"
	verbExplain = "explain"
	verbTickets = "tickets"
)

// Peers sends frames to other hosts.
type Peers interface {
	// Call sends a frame and waits for the answer.
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
}

// Fleet knows which host answers for a stopped incarnation, and which host is the home of
// a service, where its jobs queue.
type Fleet interface {
	Successor(inc ticket.Incarnation) (address string, known bool)
	Home(service string) (address string, own bool)
}

// Owners returns the team that owns a service, from the configuration in force.
type Owners interface {
	Owner(service string) string
}

// Service carries out callers' requests, here or at the owner of the ticket.
type Service struct {
	key         ticket.Key
	dispatcher  *dispatch.Dispatcher
	peers       Peers
	fleet       Fleet
	owners      Owners
	counters    *telemetry.Counters
	limits      Limits
	cache       *ticketCache
	lastService atomic.Value // string: the service most recently used by callers of this host
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
	s.cache = newTicketCache(s.fetch)
	return s
}

// Tickets returns n fresh tickets for a service, issued by its home or, if the home is
// unavailable, by this host. An empty service stands for the one that callers of this host
// used most recently.
func (s *Service) Tickets(ctx context.Context, service string, n int) ([]string, error) {
	if service == "" {
		service, _ = s.lastService.Load().(string)
	}
	if service == "" {
		return s.issueTickets(n)
	}
	address, isHome := s.fleet.Home(service)
	if isHome {
		return s.issueTickets(n)
	}
	if tickets, ok := s.cache.take(ctx, address, service, n); ok {
		return tickets, nil
	}
	return s.issueTickets(n)
}

// issueTickets returns n fresh tickets issued by this host.
func (s *Service) issueTickets(n int) ([]string, error) {
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

// fetch requests tickets issued by another host.
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
		return nil, errors.New("no tickets in the home's reply")
	}
	var body ticketsBody
	if err := json.Unmarshal(answer.Reply.Body, &body); err != nil || len(body.Tickets) != n {
		return nil, errors.New("malformed tickets or wrong number of tickets in the home's reply")
	}
	return body.Tickets, nil
}

// serveTickets issues tickets to another host.
func (s *Service) serveTickets(n int) Response {
	if n < 1 || n > maxTicketCount+ticketBatchSize {
		return invalidResponse(http.StatusBadRequest, errors.NotValidf("count %d", n))
	}
	tickets, err := s.issueTickets(n)
	if err != nil {
		return invalidResponse(http.StatusInternalServerError, err)
	}
	return jsonResponse(http.StatusOK, ticketsBody{Tickets: tickets})
}

// Do carries out one call, and forwards it if another host owns the ticket.
func (s *Service) Do(ctx context.Context, call wire.Call) Response {
	t, err := s.key.Decode(call.Ticket)
	if err != nil {
		return invalidResponse(ticketStatus(err), err)
	}
	switch s.dispatcher.Ownership(t.ID.Incarnation) {
	case dispatch.Owned:
		return s.serveLocal(ctx, t, call)
	case dispatch.Sealed:
		if _, known := s.fleet.Successor(t.ID.Incarnation); !known {
			return s.unreachableResponse()
		}
	case dispatch.Foreign:
	}
	// Reject invalid input here instead of forwarding it.
	if _, err := s.parse(call); err != nil {
		return invalidResponse(http.StatusBadRequest, err)
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
		s.lastService.Store(sub.Service)
	}
	if sub.Team == "" {
		sub.Team = s.owners.Owner(sub.Service)
	}
	return sub, nil
}

// serveLocal carries out a call for a ticket that this host owns.
func (s *Service) serveLocal(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	switch call.Verb {
	case verbSubmit, verbRequest:
		return s.submit(ctx, t, call)
	case verbLook:
		return s.waitForOutcome(ctx, t, time.Duration(call.Wait)*time.Millisecond)
	case verbCancel:
		s.dispatcher.Cancel(t.ID)
		return s.waitForOutcome(ctx, t, cancelSettleTime)
	case verbExplain:
		return s.explain(t)
	}
	return invalidResponse(http.StatusBadRequest, errors.NotValidf("verb %q", call.Verb))
}

// cancelSettleTime is how long a cancel request waits for the outcome of the canceled job.
const cancelSettleTime = 100 * time.Millisecond

func (s *Service) submit(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	sub, err := s.parse(call)
	if err != nil {
		return invalidResponse(http.StatusBadRequest, err)
	}
	outcome, ok := s.dispatcher.Submit(ctx, t.ID, sub)
	switch {
	case !ok:
		return runningResponse()
	case sub.Raw:
		return rawResponse(outcome)
	}
	return outcomeResponse(outcome)
}

func (s *Service) waitForOutcome(ctx context.Context, t ticket.Ticket, timeout time.Duration) Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, finished, known := s.dispatcher.Lookup(ctx, t.ID)
	switch {
	case !known:
		return unusedResponse()
	case !finished:
		return runningResponse()
	}
	return outcomeResponse(outcome)
}

// explainBody is the response body with the events of a job.
type explainBody struct {
	Events  []dispatch.Event `json:"events"`
	Dropped int              `json:"dropped"` // number of events dropped beyond the limit
}

func (s *Service) explain(t ticket.Ticket) Response {
	events, dropped, known := s.dispatcher.Explain(t.ID)
	if !known {
		return unusedResponse()
	}
	return jsonResponse(http.StatusOK, explainBody{
		Events:  events,
		Dropped: dropped,
	})
}

// forward sends a call to the ticket's owner, or to the owner's successor. A call may be
// sent twice, because the owner runs a ticket at most once.
func (s *Service) forward(ctx context.Context, t ticket.Ticket, call wire.Call) Response {
	address := t.Address
	if successor, known := s.fleet.Successor(t.ID.Incarnation); known {
		address = successor
	}
	for range maxSuccessorHops {
		reply, err := s.call(ctx, address, call)
		switch {
		case err != nil:
			return s.handleFailedCall(ctx, address)
		case reply.Status != 0:
			return Response{
				Status:      reply.Status,
				ContentType: reply.Kind,
				Body:        reply.Body,
				RetryAfter:  time.Duration(reply.After) * time.Millisecond,
			}
		case reply.Successor == "" || reply.Successor == address:
			return s.lostResponse()
		}
		address = reply.Successor
	}
	return s.unreachableResponse()
}

// handleFailedCall stops this host from handing out tickets of a host that could not be called.
// A call that the caller canceled does not count.
func (s *Service) handleFailedCall(ctx context.Context, address string) Response {
	if ctx.Err() == nil {
		s.cache.markUnreachable(address)
	}
	return s.unreachableResponse()
}

// maxSuccessorHops bounds the number of successors that a call is redirected to.
const maxSuccessorHops = 4

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
		return nil, errors.Trace(peer.ErrLinkClosed)
	}
	return answer.Reply, nil
}

// unreachableResponse reports that the owner can't be reached. It can't state that the job
// did not run, because an earlier attempt may have reached the owner.
func (s *Service) unreachableResponse() Response {
	s.counters.Failed(core.ReasonUnreachable)
	return failedResponse(job.Failed(core.RanMaybe, core.ReasonUnreachable))
}

func (s *Service) lostResponse() Response {
	s.counters.Failed(core.ReasonLost)
	return failedResponse(job.Failed(core.RanMaybe, core.ReasonLost))
}

// Serve answers a call that another host forwarded. It does not forward the call again,
// but replies with the owner's successor.
func (s *Service) Serve(ctx context.Context, f wire.Frame) (wire.Frame, bool) {
	if f.Call.Verb == verbTickets {
		return replyFrame(s.serveTickets(f.Call.Count)), true
	}
	t, err := s.key.Decode(f.Call.Ticket)
	if err != nil {
		return replyFrame(invalidResponse(ticketStatus(err), err)), true
	}
	successor, known := s.fleet.Successor(t.ID.Incarnation)
	switch s.dispatcher.Ownership(t.ID.Incarnation) {
	case dispatch.Owned:
		return replyFrame(s.serveLocal(ctx, t, *f.Call)), true
	case dispatch.Sealed:
		if !known {
			return replyFrame(s.unreachableResponse()), true
		}
	case dispatch.Foreign:
	}
	return wire.Frame{Reply: &wire.Reply{Successor: successor}}, true
}

func replyFrame(r Response) wire.Frame {
	return wire.Frame{Reply: &wire.Reply{
		Status: r.Status,
		Kind:   r.ContentType,
		Body:   r.Body,
		After:  int(r.RetryAfter / time.Millisecond),
	}}
}
