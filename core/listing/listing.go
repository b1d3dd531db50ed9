package listing

import (
	"slices"
	"time"

	"rosemarywalk/core/work"
)

// Server is a backend server as it registered itself.
type Server struct {
	ID               string
	Service          string
	Address          string // host:port
	Domain           string // failure domain
	Labels           []string
	Capacity         work.Size
	EnforcesCapacity bool  // the server rejects tasks that exceed its capacity
	Draining         bool  // the server will shut down and accepts no new work
	Cold             bool  // the server has not warmed up, and is slower than it will be
	Evacuated        bool  // its failure domain is evacuated: nothing new is started on it; not part of the entry
	StartedAtMillis  int64 // start time in Unix milliseconds; 0 if unknown
}

// Host is a host of this system as described by its own row.
type Host struct {
	Name           string
	Address        string      // peer address as host:port
	Domain         string      // failure domain
	HeartbeatCount int         // liveness counter; increases while the host is alive
	RouteWaits     []RouteWait // measured wait times of its callers
}

// RouteWait is the typical time for which callers of a route wait for an answer.
type RouteWait struct {
	Route   string
	Typical time.Duration // 0 as long as it is unknown
	Longest time.Duration // longest wait that was given
	Falling bool          // a caller was seen whose wait was clearly shorter, so callers state what is left of their time
	Samples int           // number of waits that it is based on; not part of the row
}

// WaitLimit limits how many waits a host writes to its row, as the store may refuse a large
// one, or a slow link lose it; the zero value is no limit.
type WaitLimit struct {
	limited  bool
	waits    int
	without  bool // the next row has no waits: no answer came to the latest one
	answered bool // a row without waits was answered after one with waits was not
}

// MostUsed returns the waits that may be written, those with most samples first.
func (l WaitLimit) MostUsed(waits []RouteWait) []RouteWait {
	if l.without {
		return nil
	}
	sorted := slices.SortedStableFunc(slices.Values(waits), func(a, b RouteWait) int { return b.Samples - a.Samples })
	if l.limited {
		return sorted[:min(l.waits, len(sorted))]
	}
	return sorted
}

// WithRefused returns the limit after the store has refused a row with so many waits.
func (l WaitLimit) WithRefused(waits int) WaitLimit {
	return WaitLimit{
		limited: true,
		waits:   waits / 2,
	}
}

// WithUnanswered returns the limit after a row with so many waits got no answer.
func (l WaitLimit) WithUnanswered(waits int) WaitLimit {
	if waits > 0 && l.answered {
		l = l.WithRefused(waits)
	}
	l.without = true // a row that moves matters more than the waits in it
	return l
}

// WithAccepted returns the limit after the store has taken a row. It grows slowly, as each
// step may be refused.
func (l WaitLimit) WithAccepted() WaitLimit {
	if !l.without {
		l.waits += 1 + l.waits/waitLimitGrowth
	}
	l.answered, l.without = l.without, false
	return l
}

const waitLimitGrowth = 16

// HasLabel reports whether the server has a label. Every server has the empty label.
func (s Server) HasLabel(label string) bool { return label == "" || slices.Contains(s.Labels, label) }

// Same reports whether two entries are equal. The order of labels matters.
func (s Server) Same(o Server) bool {
	labels := slices.Equal(s.Labels, o.Labels)
	s.Labels, o.Labels = nil, nil
	return labels && s.ID == o.ID && s.Service == o.Service && s.Address == o.Address &&
		s.Domain == o.Domain && s.Capacity == o.Capacity && s.EnforcesCapacity == o.EnforcesCapacity &&
		s.Draining == o.Draining && s.Cold == o.Cold && s.StartedAtMillis == o.StartedAtMillis
}
