package listing

import (
	"slices"
	"time"

	"rosemarywalk/core/work"
)

// Server is a backend server as it describes itself.
type Server struct {
	ID              string
	Service         string
	Address         string // as host:port
	Domain          string // failure domain
	Labels          []string
	Capacity        work.Size
	Guards          bool  // it refuses what doesn't fit
	Draining        bool  // it leaves soon and takes no new work
	StartedAtMillis int64 // its start, Unix milliseconds; 0 is unknown
}

// Host is an entry host of this system as its own row describes it.
type Host struct {
	Name           string
	Address        string      // peer address, as host:port
	Domain         string      // failure domain
	HeartbeatCount int         // goes up while the host lives
	RouteWaits     []RouteWait // what it learned of its callers
}

// RouteWait is how long the callers of a route usually wait for an answer.
type RouteWait struct {
	Route   string
	Typical time.Duration
}

// Has reports whether the server has a label.
func (s Server) Has(label string) bool { return label == "" || slices.Contains(s.Labels, label) }

// Same reports whether two entries describe the server alike.
func (s Server) Same(o Server) bool {
	labels := slices.Equal(s.Labels, o.Labels)
	s.Labels, o.Labels = nil, nil
	return labels && s.ID == o.ID && s.Service == o.Service && s.Address == o.Address &&
		s.Domain == o.Domain && s.Capacity == o.Capacity && s.Guards == o.Guards &&
		s.Draining == o.Draining && s.StartedAtMillis == o.StartedAtMillis
}
