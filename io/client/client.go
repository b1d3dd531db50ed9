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

// ErrUnknown says that a submission's outcome isn't known; try the same
// ticket again.
const ErrUnknown = errors.ConstError("outcome unknown, try the same ticket again")

// Job is a job as the callers' interface takes it.
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

// Outcome is a job's answer.
type Outcome struct {
	Status  int               `json:"-"` // HTTP status
	After   int               `json:"-"` // Retry-After, in seconds
	State   string            `json:"state"`
	Answers []json.RawMessage `json:"answers,omitempty"`
	Ran     core.Ran          `json:"ran,omitempty"`
	Reason  core.Reason       `json:"reason,omitempty"`
	Tasks   []Failed          `json:"tasks,omitempty"`
}

// Complete reports whether all answers are there.
func (o Outcome) Complete() bool { return o.State == "complete" }

// Failed is one failed task of a job.
type Failed struct {
	Task   int         `json:"task"`
	Server string      `json:"server"`
	Ran    core.Ran    `json:"ran"`
	Reason core.Reason `json:"reason"`
}

// Client talks to one host and keeps tickets ahead of time.
type Client struct {
	base string
	http *http.Client

	mu      sync.Mutex
	service string // that tickets are fetched for
	tickets []string
}

// WithService returns a client whose tickets come from a service's home, so
// that a job is queued where all others of the service are.
func (c *Client) WithService(service string) *Client {
	return &Client{
		base:    c.base,
		http:    c.http,
		service: service,
	}
}

// New returns a client for the host at a base URL.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{
		base: base,
		http: &http.Client{Transport: transport},
	}
}

// ticketBatch is how many tickets are fetched at once.
const ticketBatch = 100

// Ticket returns an unused ticket, fetching a batch when none is left.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	if t, ok := c.spare(); ok {
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

func (c *Client) spare() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		return "", false
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, true
}

// Tickets fetches n fresh tickets.
func (c *Client) Tickets(ctx context.Context, n int) ([]string, error) {
	status, _, raw, err := c.do(ctx, http.MethodPost, "/tickets?service="+url.QueryEscape(c.service)+"&count="+strconv.Itoa(n), nil, nil)
	if err != nil {
		return nil, err
	}
	var body struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || len(body.Tickets) != n {
		return nil, errors.Errorf("host gave no tickets: status %d", status)
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

// SubmitRaw sends a job's JSON as it is.
func (c *Client) SubmitRaw(ctx context.Context, ticket string, raw []byte) (Outcome, error) {
	header := http.Header{"Ticket": {ticket}}
	o, err := outcome(c.do(ctx, http.MethodPost, "/jobs", header, raw))
	if isOwnerGone(o.Reason) {
		c.flush()
	}
	return o, err
}

// isOwnerGone reports whether the other tickets held, which are likely of the
// same host, are better not used.
func isOwnerGone(reason core.Reason) bool {
	switch reason {
	case core.ReasonDraining, core.ReasonUnreachable, core.ReasonLost:
		return true
	}
	return false
}

func (c *Client) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = nil
}

// SubmitKey sends a job under an idempotency key of the caller's own.
func (c *Client) SubmitKey(ctx context.Context, key string, job Job) (Outcome, error) {
	raw, err := json.Marshal(job)
	if err != nil {
		return Outcome{}, errors.Annotate(err, "encode job")
	}
	header := http.Header{"Idempotency-Key": {key}}
	return outcome(c.do(ctx, http.MethodPost, "/jobs", header, raw))
}

// Look returns a job's outcome, waiting up to a time in milliseconds.
func (c *Client) Look(ctx context.Context, ticket string, timeout int) (Outcome, error) {
	return outcome(c.do(ctx, http.MethodGet, "/jobs/"+ticket+"?timeout="+strconv.Itoa(timeout), nil, nil))
}

// Cancel stops a job.
func (c *Client) Cancel(ctx context.Context, ticket string) (Outcome, error) {
	return outcome(c.do(ctx, http.MethodDelete, "/jobs/"+ticket, nil, nil))
}

// Explain returns the record of a job as the host wrote it.
func (c *Client) Explain(ctx context.Context, ticket string) ([]byte, error) {
	_, _, raw, err := c.do(ctx, http.MethodGet, "/jobs/"+ticket+"/explain", nil, nil)
	return raw, err
}

// Request passes one request to a backend server; the ticket may be empty.
func (c *Client) Request(ctx context.Context, service, ticket string, idempotent bool, body []byte) (int, []byte, error) {
	header := http.Header{"Idempotent": {strconv.FormatBool(idempotent)}}
	if ticket != "" {
		header.Set("Ticket", ticket)
	}
	status, _, raw, err := c.do(ctx, http.MethodPost, "/requests/"+service, header, body)
	return status, raw, err
}

func outcome(status int, header http.Header, raw []byte, err error) (Outcome, error) {
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	if err := json.Unmarshal(raw, &o); err != nil {
		return Outcome{}, errors.WithType(err, ErrUnknown)
	}
	o.Status = status
	o.After, _ = strconv.Atoi(header.Get("Retry-After"))
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
