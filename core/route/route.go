package route

import (
	"strings"
	"time"
)

// Route is one queue of tasks.
type Route struct {
	Name     string
	Host     string // Host header; "" matches any
	Prefix   string // start of the path
	Service  string
	Timeout  time.Duration // longest time for a request
	Slack    time.Duration // latency objective beside the work itself
	Stretch  float64       // latency objective for each unit of work
	Priority int           // 0 comes first
	Attempts int           // failed runs of a task that fail its job
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int           // bytes
	Header       int           // bytes
	Idle         time.Duration // of a connection
}

// Config is one version of the configuration.
type Config struct {
	Version  int // 0 is none yet
	Routes   []Route
	Services []string
	Limits   Limits
}

// Match returns the route with the longest prefix of a path, and the rest of
// the path.
func (c Config) Match(host, path string) (r Route, rest string, ok bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, candidate := range c.Routes {
		if candidate.Host != "" && candidate.Host != host {
			continue
		}
		tail, found := strings.CutPrefix(path, candidate.Prefix)
		if found && (!ok || len(candidate.Prefix) > len(r.Prefix)) {
			r, rest, ok = candidate, tail, true
		}
	}
	return r, rest, ok
}
