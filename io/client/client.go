package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/juju/errors"

	"rosemarywalk/core"
)

// ErrUnknown is returned when no valid response was received, so that the
// outcome of the request is unknown. Retrying with the same ticket is safe.
const ErrUnknown = errors.ConstError("outcome unknown; retry with the same ticket")

// Job is the request body of a job submission.
type Job struct {
	Service  string `json:"service"`
	Team     string `json:"team,omitempty"`
	Deadline int    `json:"deadline,omitempty"` // milliseconds
	Tasks    []Task `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	Body         json.RawMessage `json:"body"`
	Cores        int             `json:"cores,omitempty"`
	Memory       int             `json:"memory,omitempty"` // MB
	Accelerators int             `json:"accelerators,omitempty"`
}

// Outcome is the response to a submission, lookup or cancellation.
type Outcome struct {
	Status     int               `json:"-"` // HTTP status
	RetryAfter int               `json:"-"` // Retry-After, in seconds
	State      string            `json:"state"`
	Answers    []json.RawMessage `json:"answers,omitempty"`
	Ran        core.Ran          `json:"ran,omitempty"`
	Reason     core.Reason       `json:"reason,omitempty"`
	Tasks      []FailedTask      `json:"tasks,omitempty"`
}

// Complete reports whether every task of the job has an answer.
func (o Outcome) Complete() bool { return o.State == "complete" }

// FailedTask is one failed task of a job.
type FailedTask struct {
	Task   int         `json:"task"`
	Server string      `json:"server"`
	Ran    core.Ran    `json:"ran"`
	Reason core.Reason `json:"reason"`
}

// Client sends requests to one host. It fetches tickets in batches and caches
// the unused ones.
type Client struct {
	base string
	http *http.Client

	mu      sync.Mutex
	service string // service that tickets are fetched for
	tickets []string
}

// WithService returns a client that fetches its tickets from the home of a
// service, so that its jobs join the queue that the service's other jobs use.
func (c *Client) WithService(service string) *Client {
	return &Client{
		base:    c.base,
		http:    c.http,
		service: service,
	}
}

// New returns a client for the host at the base URL; a nil transport selects
// http.DefaultTransport.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{
		base: base,
		http: &http.Client{Transport: transport},
	}
}

// ticketBatch is the number of tickets that Ticket fetches per request.
const ticketBatch = 100

// Ticket returns an unused ticket and fetches a batch if the cache is empty.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	if t, ok := c.takeCachedTicket(); ok {
		return t, nil
	}
	tickets, err := c.Tickets(ctx, ticketBatch)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = append(c.tickets, tickets[1:]...)
	return tickets[0], nil
}

func (c *Client) takeCachedTicket() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		return "", false
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, true
}

// Tickets fetches n new tickets, bypassing the cache.
func (c *Client) Tickets(ctx context.Context, n int) ([]string, error) {
	status, _, raw, err := c.do(ctx, http.MethodPost, "/tickets?service="+url.QueryEscape(c.service)+"&count="+strconv.Itoa(n), nil, nil)
	if err != nil {
		return nil, err
	}
	var body struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || len(body.Tickets) != n {
		return nil, errors.Errorf("ticket response with status %d does not hold the requested tickets", status)
	}
	return body.Tickets, nil
}

// Submit sends a job under a ticket and waits for its outcome.
func (c *Client) Submit(ctx context.Context, ticket string, job Job) (Outcome, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return Outcome{}, errors.Annotate(err, "encode job")
	}
	return c.SubmitRaw(ctx, ticket, raw)
}

// SubmitRaw submits a job that is already encoded as JSON and waits for its
// outcome.
func (c *Client) SubmitRaw(ctx context.Context, ticket string, raw []byte) (Outcome, error) {
	header := http.Header{"Ticket": {ticket}}
	o, err := decodeOutcome(c.do(ctx, http.MethodPost, "/jobs", header, raw))
	if isOwnerGone(o.Reason) {
		c.discardTickets()
	}
	return o, err
}

// isOwnerGone reports whether the reason means that the host that issued the
// ticket is gone. Cached tickets probably come from the same host and should be
// discarded.
func isOwnerGone(reason core.Reason) bool {
	switch reason {
	case core.ReasonDraining, core.ReasonUnreachable, core.ReasonLost:
		return true
	}
	return false
}

func (c *Client) discardTickets() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = nil
}

// SubmitWithKey submits a job under an idempotency key that the caller chose,
// instead of a ticket.
func (c *Client) SubmitWithKey(ctx context.Context, key string, job Job) (Outcome, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return Outcome{}, errors.Annotate(err, "encode job")
	}
	header := http.Header{"Idempotency-Key": {key}}
	return decodeOutcome(c.do(ctx, http.MethodPost, "/jobs", header, raw))
}

// Lookup returns the outcome of a job and waits for it for up to timeout
// milliseconds.
func (c *Client) Lookup(ctx context.Context, ticket string, timeout int) (Outcome, error) {
	return decodeOutcome(c.do(ctx, http.MethodGet, "/jobs/"+ticket+"?timeout="+strconv.Itoa(timeout), nil, nil))
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, ticket string) (Outcome, error) {
	return decodeOutcome(c.do(ctx, http.MethodDelete, "/jobs/"+ticket, nil, nil))
}

// Explain returns the host's record of a job, undecoded.
func (c *Client) Explain(ctx context.Context, ticket string) ([]byte, error) {
	_, _, raw, err := c.do(ctx, http.MethodGet, "/jobs/"+ticket+"/explain", nil, nil)
	return raw, err
}

// Request forwards a single request to a backend server of the service and
// returns its status and body; the ticket may be empty.
func (c *Client) Request(ctx context.Context, service, ticket string, idempotent bool, body []byte) (int, []byte, error) {
	header := http.Header{"Idempotent": {strconv.FormatBool(idempotent)}}
	if ticket != "" {
		header.Set("Ticket", ticket)
	}
	status, _, raw, err := c.do(ctx, http.MethodPost, "/requests/"+service, header, body)
	return status, raw, err
}

func decodeOutcome(status int, header http.Header, raw []byte, err error) (Outcome, error) {
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	if err := json.Unmarshal(raw, &o); err != nil {
		return Outcome{}, errors.WithType(err, ErrUnknown)
	}
	o.Status = status
	o.RetryAfter, _ = strconv.Atoi(header.Get("Retry-After"))
	return o, nil
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Annotate(err, "build request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, nil, errors.WithType(err, ErrUnknown)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil, errors.WithType(err, ErrUnknown)
	}
	return response.StatusCode, response.Header, raw, nil
}
