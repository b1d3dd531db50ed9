package route

import (
	"strings"
	"time"
)

// Route maps requests to a service, and is one queue of tasks.
type Route struct {
	Name        string
	Host        string // Host header without port; "" matches any
	Prefix      string // path prefix
	Service     string
	Timeout     time.Duration // maximum duration of a request
	Slack       time.Duration // fixed part of the latency objective
	Stretch     float64       // latency objective per unit of run time
	Priority    int           // lower values first
	MaxAttempts int           // failed runs of one task after which its job fails
}

// Queue returns what callers know a route by: the host and the path prefix of its requests.
func (r Route) Queue() string { return r.Host + r.Prefix }

// Limits bounds the requests of callers. A value of 0 is unknown.
type Limits struct {
	MaxBodyBytes   int           // maximum body size in bytes
	MaxHeaderBytes int           // maximum header size in bytes
	HeaderTimeout  time.Duration // maximum time for which a header is received
	IdleTimeout    time.Duration // idle timeout of a connection
}

// Config is one version of the configuration.
type Config struct {
	Version  int // 0 if none was received yet
	Routes   []Route
	Services []string
	Limits   Limits
}

// Match returns the route with the longest prefix that matches a host and path, and
// the path after that prefix.
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
