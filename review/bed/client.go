package bed

import (
	"slices"
	"sync"
	"time"
)

// Client sends the same kind of job to the hosts in turn. A job without an outcome is
// submitted again, at the next host, as long as the client waits.
type Client struct {
	bed      *Bed
	prefix   string
	patience time.Duration
	body     string

	mu       sync.Mutex
	hosts    []*Host
	requests []sentRequest
}

type sentRequest struct {
	sent   time.Time
	served bool
}

// NewClient returns a client of all hosts.
func NewClient(b *Bed, prefix string, patience time.Duration, body string) *Client {
	return &Client{
		bed:      b,
		prefix:   prefix,
		patience: patience,
		body:     body,
		hosts:    slices.Clone(b.Hosts),
	}
}

// Hosts returns the hosts in use.
func (c *Client) Hosts() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// SetHost replaces the host at an index.
func (c *Client) SetHost(i int, h *Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[i] = h
}

// Begin sends a request each interval. The returned function ends that and waits for the
// outcomes.
func (c *Client) Begin(interval time.Duration) (stop func()) {
	done := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			sending.Go(func() { c.request(n) })
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	return func() {
		close(done)
		sending.Wait()
	}
}

func (c *Client) request(n int) {
	r := sentRequest{sent: time.Now()}
	id, hosts := ID(), c.Hosts()
	for try := 0; !r.served; try++ {
		left := c.patience - time.Since(r.sent)
		if left <= 0 {
			break
		}
		answer := c.bed.Call(hosts[(n+try)%len(hosts)], "POST", c.prefix+id, c.body, left)
		r.served = answer.Status == 200
		if !r.served {
			time.Sleep(ResendDelay)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// Served returns the share of the requests sent in a period that were served.
func (c *Client) Served(from, to time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, served := 0, 0
	for _, r := range c.requests {
		if !r.sent.After(from) || r.sent.After(to) {
			continue
		}
		all++
		if r.served {
			served++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}
