package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarywalk/core/listing"
)

// The steps by which the usual wait of a route's callers follows what they
// say: few say less than it.
const (
	waitStep  = 0.005 // part of the usual wait
	waitBelow = 0.05  // part of callers that say less
)

// waitNoise is the shortfall that callers who come for the first time may show.
const waitNoise = 300 * time.Millisecond

// waits learns how long the callers of each route usually wait when they first
// hand in a job. One that says much less handed it in before, to a host that
// gave no answer, and has waited since.
type waits struct {
	mu     sync.Mutex
	routes map[string]float64 // seconds
}

// age returns how long a caller that still waits for the given time has waited
// already.
func (w *waits) age(route string, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	seconds := left.Seconds()
	usual, known := w.routes[route]
	if !known {
		w.routes[route] = seconds
		return 0
	}
	if seconds < usual {
		w.routes[route] = usual - waitStep*(1-waitBelow)*usual
		return max(0, time.Duration((usual-seconds)*float64(time.Second))-waitNoise)
	}
	w.routes[route] = usual + waitStep*waitBelow*usual
	return 0
}

// learned returns the usual waits, for this host's row in the store.
func (w *waits) learned() []listing.RouteWait {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]listing.RouteWait, 0, len(w.routes))
	for route, seconds := range w.routes {
		all = append(all, listing.RouteWait{
			Route:   route,
			Typical: time.Duration(seconds * float64(time.Second)),
		})
	}
	slices.SortFunc(all, func(a, b listing.RouteWait) int { return strings.Compare(a.Route, b.Route) })
	return all
}

// take fills in what other hosts, or an earlier process of this one, learned.
func (w *waits) take(hosts []listing.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range hosts {
		for _, l := range h.RouteWaits {
			if _, known := w.routes[l.Route]; !known && l.Typical > 0 {
				w.routes[l.Route] = l.Typical.Seconds()
			}
		}
	}
}
