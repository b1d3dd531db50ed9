package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	corehedge "rosemarywalk/core/hedge"
	"rosemarywalk/io/hedge"
	"rosemarywalk/io/late"
)

// ErrConflict reports that a conditional write found another version of the row.
const ErrConflict = errors.ConstError("version conflict")

// ErrMissing reports that a row does not exist.
const ErrMissing = errors.ConstError("no such row")

// ErrDown reports that the platform did not process the request.
const ErrDown = errors.ConstError("platform is down")

// ErrUnknownOutcome reports that a write may or may not have taken effect.
const ErrUnknownOutcome = errors.ConstError("outcome of the write is unknown")

// Row is one row of the table.
type Row struct {
	Key      string          `json:"key"`
	Version  int             `json:"version"`  // of this row, from 1
	Revision int             `json:"revision"` // of the table when the row was written
	Value    json.RawMessage `json:"value"`
}

// Write is one conditional write; version 0 means that the row must not exist.
type Write struct {
	Key     string          `json:"key"`
	Version int             `json:"version"`
	Value   json.RawMessage `json:"value"`
	Delete  bool            `json:"delete,omitempty"` // remove the row instead
}

// Result is the outcome of one Write in a Commit.
type Result struct {
	Applied bool `json:"applied"`
	Row     Row  `json:"row"` // the current row
}

// Feed holds the rows that changed since a revision.
type Feed struct {
	Revision int   `json:"revision"`
	Rows     []Row `json:"rows"`
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	ID           string   `json:"id"`
	Address      string   `json:"address"`
	Domain       string   `json:"domain"`
	Services     []string `json:"services"`
	State        string   `json:"state"` // live or leaving
	Slots        int      `json:"slots"`
	Connections  int      `json:"connections"`
	Cores        int      `json:"cores"`
	Memory       int      `json:"memory"` // MB
	Accelerators int      `json:"accelerators"`
}

// StateLeaving marks a host that must not receive new work.
const StateLeaving = "leaving"

// Listing is the platform's list of hosts.
type Listing struct {
	Revision  int          `json:"revision"`
	Hosts     []ListedHost `json:"hosts"`
	Evacuated []string     `json:"evacuated,omitempty"` // failure domains to which nothing new may be sent
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// Client calls the platform's service over HTTP.
type Client struct {
	baseURL string
	reads   *hedge.Client
	writes  *hedge.Client // sent once, as they may have been made
}

// readAttempts is the number of attempts at a read within its timeout.
const readAttempts = 3

// New returns a client for the platform at a base URL with a timeout for each call, which calls
// settled as package hedge does.
func New(baseURL string, timeout time.Duration, dial late.Dial, settled func(attempts, answered int)) *Client {
	open := func() *http.Transport { return &http.Transport{DialContext: dial} }
	client := func(attempts int) *hedge.Client {
		return hedge.New(corehedge.Limits{
			Answer:   timeout / time.Duration(attempts),
			Attempts: attempts,
		}, open, late.New(), settled)
	}
	return &Client{
		baseURL: baseURL,
		reads:   client(readAttempts),
		writes:  client(1),
	}
}

// call describes one HTTP request.
type call struct {
	method   string
	path     string
	query    url.Values
	body     any
	longPoll time.Duration // how long the platform may delay its response, on top of the timeout
}

// response is a complete response of the platform.
type response struct {
	status int
	body   []byte
}

// do makes a call and returns the status and body of the response. If there is no response, the
// error is ErrDown or ErrUnknownOutcome.
func (c *Client) do(ctx context.Context, req call) (int, []byte, error) {
	client := c.writes
	if req.method == http.MethodGet {
		client = c.reads
	}
	answer, err := hedge.Do(ctx, client, req.longPoll, func(ctx context.Context, pool *http.Client, wait time.Duration) (response, error) {
		return c.send(ctx, pool, req.withWait(wait))
	})
	if errors.Is(err, hedge.ErrOverdue) || (err != nil && ctx.Err() != nil) {
		err = errors.WithType(err, ErrUnknownOutcome)
	}
	return answer.status, answer.body, err
}

// withWait returns the call of an attempt for which the platform may wait.
func (r call) withWait(wait time.Duration) call {
	if r.longPoll > 0 {
		r.query = maps.Clone(r.query)
		r.query.Set(queryTimeout, strconv.Itoa(int(wait.Milliseconds())))
	}
	return r
}

// queryTimeout is the parameter with the time for which the platform may wait, in milliseconds.
const queryTimeout = "timeout"

func (c *Client) send(ctx context.Context, pool *http.Client, req call) (response, error) {
	var none response
	reqBody, err := json.Marshal(req.body)
	if err != nil {
		return none, errors.Annotate(err, "encode platform request")
	}
	target := c.baseURL + req.path
	if len(req.query) > 0 {
		target += "?" + req.query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, target, bytes.NewReader(reqBody))
	if err != nil {
		return none, errors.Annotate(err, "build platform request")
	}
	// Without GetBody, net/http can't send a write a second time on its own.
	httpReq.GetBody = nil
	httpResp, err := pool.Do(httpReq)
	if err != nil {
		return none, classifyError(err)
	}
	defer httpResp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes))
	if err != nil {
		return none, errors.WithType(err, ErrUnknownOutcome)
	}
	if httpResp.StatusCode == http.StatusServiceUnavailable {
		return none, errors.Trace(ErrDown)
	}
	return response{
		status: httpResp.StatusCode,
		body:   respBody,
	}, nil
}

// classifyError returns ErrDown if no connection could be opened. Otherwise the request may
// have been processed, and it returns ErrUnclear.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrDown)
	}
	return errors.WithType(err, ErrUnknownOutcome)
}

func decode(raw []byte, into any) error {
	return errors.Annotate(json.Unmarshal(raw, into), "decode platform response")
}

func unexpectedStatus(status int) error {
	return errors.Errorf("unexpected status %d from the platform", status)
}

// Hosts returns the host list if it is newer than a revision.
func (c *Client) Hosts(ctx context.Context, revision int) (listing Listing, changed bool, err error) {
	status, raw, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/hosts",
		query:  url.Values{"revision": {strconv.Itoa(revision)}},
	})
	switch {
	case err != nil:
		return Listing{}, false, err
	case status == http.StatusNotModified:
		return Listing{}, false, nil
	case status != http.StatusOK:
		return Listing{}, false, unexpectedStatus(status)
	}
	return listing, true, decode(raw, &listing)
}

// Get returns a row, or ErrMissing.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	status, raw, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/table/" + url.PathEscape(key),
	})
	switch {
	case err != nil:
		return row, err
	case status == http.StatusNotFound:
		return row, errors.Trace(ErrMissing)
	case status != http.StatusOK:
		return row, unexpectedStatus(status)
	}
	return row, decode(raw, &row)
}

// Commit sends conditional writes in one request. Each is applied independently of the
// others.
func (c *Client) Commit(ctx context.Context, writes []Write) ([]Result, error) {
	status, raw, err := c.do(ctx, call{
		method: http.MethodPost,
		path:   "/commits",
		body:   writes,
	})
	switch {
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, unexpectedStatus(status)
	}
	var results []Result
	if err := decode(raw, &results); err != nil {
		return nil, errors.WithType(err, ErrUnknownOutcome)
	}
	if len(results) != len(writes) {
		return nil, errors.WithType(fmt.Errorf("platform returned %d results for %d writes", len(results), len(writes)), ErrUnknownOutcome)
	}
	return results, nil
}

// Put performs one conditional write. On ErrConflict it returns the current row.
func (c *Client) Put(ctx context.Context, w Write) (Row, error) {
	results, err := c.Commit(ctx, []Write{w})
	if err != nil {
		return Row{}, err
	}
	if !results[0].Applied {
		return results[0].Row, errors.Trace(ErrConflict)
	}
	return results[0].Row, nil
}

// Oldest returns the least recently written rows under a prefix.
func (c *Client) Oldest(ctx context.Context, prefix string, limit int) (Feed, error) {
	return c.feed(ctx, url.Values{
		"prefix": {prefix},
		"limit":  {strconv.Itoa(limit)},
	}, 0)
}

// Changes returns the rows under a prefix that changed since a revision. If there are
// none, it waits up to timeout for the first one.
func (c *Client) Changes(ctx context.Context, prefix string, since int, timeout time.Duration) (Feed, error) {
	return c.feed(ctx, url.Values{
		"prefix": {prefix},
		"since":  {strconv.Itoa(since)},
	}, timeout)
}

func (c *Client) feed(ctx context.Context, query url.Values, longPoll time.Duration) (Feed, error) {
	var feed Feed
	status, raw, err := c.do(ctx, call{
		method:   http.MethodGet,
		path:     "/table",
		query:    query,
		longPoll: longPoll,
	})
	switch {
	case err != nil:
		return feed, err
	case status != http.StatusOK:
		return feed, unexpectedStatus(status)
	}
	return feed, decode(raw, &feed)
}
