package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ErrConflict says that a conditional write met another version.
const ErrConflict = errors.ConstError("version conflict")

// ErrMissing says that there is no such row.
const ErrMissing = errors.ConstError("no such row")

// ErrDown says that the platform did nothing.
const ErrDown = errors.ConstError("platform is down")

// ErrUnclear says that a write may or may not have taken effect.
const ErrUnclear = errors.ConstError("outcome of the write is unclear")

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

// Result is what became of one Write of a Commit.
type Result struct {
	Applied bool `json:"applied"`
	Row     Row  `json:"row"` // the row as it now is
}

// Feed is the rows changed since a revision.
type Feed struct {
	Revision int   `json:"revision"`
	Rows     []Row `json:"rows"`
}

// ListedHost is one host of the platform's list.
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

// StateLeaving marks a host that must get no new work.
const StateLeaving = "leaving"

// Listing is the platform's list of hosts.
type Listing struct {
	Revision int          `json:"revision"`
	Hosts    []ListedHost `json:"hosts"`
}

// answerBytesMax bounds what the platform may answer.
const answerBytesMax = 64 << 20

// Client talks to the platform over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for the platform at a base URL; timeout is for one call.
func New(base string, timeout time.Duration, dialer *net.Dialer) *Client {
	return &Client{
		base:    base,
		timeout: timeout,
		http:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	wait   time.Duration // that the platform may hold the answer back
}

// do returns the status and body; err is ErrDown or ErrUnclear.
func (c *Client) do(ctx context.Context, k call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.wait)
	defer cancel()
	raw, err := json.Marshal(k.body)
	if err != nil {
		return 0, nil, errors.Annotate(err, "encode call")
	}
	target := c.base + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, errors.Annotate(err, "build call")
	}
	// A write must not be sent again behind our back.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, failure(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, answerBytesMax))
	if err != nil {
		return 0, nil, errors.WithType(err, ErrUnclear)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, nil, errors.Trace(ErrDown)
	}
	return response.StatusCode, answer, nil
}

// failure tells a refused connection from an answer that never came.
func failure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithType(err, ErrDown)
	}
	return errors.WithType(err, ErrUnclear)
}

func decode(raw []byte, into any) error {
	return errors.Annotate(json.Unmarshal(raw, into), "read the platform's answer")
}

func unexpected(status int) error { return errors.Errorf("platform answered with status %d", status) }

// Hosts returns the host list when it is newer than a revision.
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
		return Listing{}, false, unexpected(status)
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
		return row, unexpected(status)
	}
	return row, decode(raw, &row)
}

// Commit carries out conditional writes, each on its own, in one exchange.
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
		return nil, unexpected(status)
	}
	var results []Result
	if err := decode(raw, &results); err != nil {
		return nil, errors.WithType(err, ErrUnclear)
	}
	if len(results) != len(writes) {
		return nil, errors.WithType(fmt.Errorf("%d results for %d writes", len(results), len(writes)), ErrUnclear)
	}
	return results, nil
}

// Put carries out one conditional write; on ErrConflict the row is the present one.
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

// Oldest returns the rows under a prefix that were written longest ago.
func (c *Client) Oldest(ctx context.Context, prefix string, limit int) (Feed, error) {
	return c.feed(ctx, url.Values{
		"prefix": {prefix},
		"limit":  {strconv.Itoa(limit)},
	}, 0)
}

// Changes returns rows under a prefix that changed since a revision, and waits
// up to timeout for the first one.
func (c *Client) Changes(ctx context.Context, prefix string, since int, timeout time.Duration) (Feed, error) {
	return c.feed(ctx, url.Values{
		"prefix":  {prefix},
		"since":   {strconv.Itoa(since)},
		"timeout": {strconv.Itoa(int(timeout / time.Millisecond))},
	}, timeout)
}

func (c *Client) feed(ctx context.Context, query url.Values, wait time.Duration) (Feed, error) {
	var feed Feed
	status, raw, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/table",
		query:  query,
		wait:   wait,
	})
	switch {
	case err != nil:
		return feed, err
	case status != http.StatusOK:
		return feed, unexpected(status)
	}
	return feed, decode(raw, &feed)
}
