package executor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/core/place"
)

// HeaderTask names the task in a request, and may be echoed in the answer.
const HeaderTask = "Task"

const (
	idleTimeout    = 5 * time.Second
	contentDefault = "application/json"
)

// Task is one send to one backend server.
type Task struct {
	Address string // host:port of the backend server
	Service string
	Name    string // unique for the task, echoed by servers that can
	Type    string // HTTP content type of Body
	Body    []byte
	Raw     bool // an error of the server is an answer for the caller
}

// Reply is how a send ended.
type Reply struct {
	Result place.Result
	Reason core.Reason
	Answer job.Answer
}

// Limits bounds one client.
type Limits struct {
	Connections int // to one backend server, from this host
	Answer      int // largest answer, in bytes
}

// Client sends tasks over HTTP.
type Client struct {
	transport *http.Transport
	limits    Limits
}

// New returns a client with its own connections.
func New(limits Limits, dialer *net.Dialer) *Client {
	return &Client{
		limits: limits,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     limits.Connections,
			MaxIdleConnsPerHost: limits.Connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// Close ends the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// once hides a body's GetBody, so that the transport can never replay it.
type once struct{ io.Reader }

// Close does nothing; the reader is in memory.
func (once) Close() error { return nil }

// Send sends a task once and returns what is known of it afterwards.
func (c *Client) Send(ctx context.Context, t Task) Reply {
	var reached atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), t)
	if err != nil {
		return reply(place.Unreached, core.ReasonConnect)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return lost(ctx, reached.Load())
	}
	defer response.Body.Close()
	return c.read(ctx, t, response)
}

func (c *Client) request(ctx context.Context, t Task) (*http.Request, error) {
	url := "http://" + t.Address + "/tasks/" + t.Service
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, once{bytes.NewReader(t.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(t.Body))
	request.Header.Set(HeaderTask, t.Name)
	request.Header.Set("Content-Type", contentType(t.Type))
	return request, nil
}

func contentType(given string) string {
	if given == "" {
		return contentDefault
	}
	return given
}

func reply(result place.Result, reason core.Reason) Reply {
	return Reply{
		Result: result,
		Reason: reason,
	}
}

// lost says what an error means for the task.
func lost(ctx context.Context, reached bool) Reply {
	switch {
	case ctx.Err() != nil:
		return reply(place.Aborted, core.ReasonCanceled)
	case reached:
		return reply(place.Interrupted, core.ReasonReset)
	}
	return reply(place.Unreached, core.ReasonConnect)
}

func (c *Client) read(ctx context.Context, t Task, response *http.Response) Reply {
	if echo := response.Header.Get(HeaderTask); echo != "" && echo != t.Name {
		return reply(place.Interrupted, core.ReasonMalformed)
	}
	// Without a length or chunks, an answer cut halfway looks like a whole one.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return reply(place.Interrupted, core.ReasonMalformed)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.limits.Answer)+1))
	if err != nil {
		return lost(ctx, true)
	}
	if len(body) > c.limits.Answer {
		return reply(place.Interrupted, core.ReasonLarge)
	}
	return judge(t, job.Answer{
		Status: response.StatusCode,
		Type:   response.Header.Get("Content-Type"),
		Body:   body,
	})
}

func judge(t Task, answer job.Answer) Reply {
	r := Reply{Answer: answer}
	switch {
	case answer.Status == http.StatusTooManyRequests:
		r.Result, r.Reason = place.Refused, core.ReasonBusy
	case answer.Status >= http.StatusInternalServerError && t.Raw:
		r.Result, r.Reason = place.Errored, core.ReasonStatus
	case answer.Status/100 != 2 && !t.Raw:
		r.Result, r.Reason = place.Failed, core.ReasonStatus
	}
	return r
}
