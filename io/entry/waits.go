package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarywalk/core/listing"
)

// The estimate of a route's typical wait is a low quantile of the waits that its
// callers give; each sample moves it by a fraction of its value.
const (
	waitStep     = 0.005 // step size as a fraction of the estimate
	waitQuantile = 0.05  // fraction of callers that give a shorter wait
)

// waitTolerance is how far the wait of a first submission may fall below the estimate.
const waitTolerance = 300 * time.Millisecond

// waitEstimator estimates how long the callers of each route wait on the first
// submission of a job. A caller that gives a much shorter wait has submitted the job
// before, to a host that did not answer, and has already waited for the difference.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]float64 // estimate by route, in seconds
}

// elapsed returns how long a caller has already waited, given how long it will still
// wait, and updates the estimate of the route.
func (w *waitEstimator) elapsed(route string, remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	seconds := remaining.Seconds()
	estimate, known := w.routes[route]
	if !known {
		w.routes[route] = seconds
		return 0
	}
	if seconds < estimate {
		w.routes[route] = estimate - waitStep*(1-waitQuantile)*estimate
		return max(0, time.Duration((estimate-seconds)*float64(time.Second))-waitTolerance)
	}
	w.routes[route] = estimate + waitStep*waitQuantile*estimate
	return 0
}

// estimates returns the estimates, sorted by route, for this host's entry in the store.
func (w *waitEstimator) estimates() []listing.RouteWait {
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

// adopt adopts the estimates of other hosts, or of an earlier process of this host, for
// routes that have none yet.
func (w *waitEstimator) adopt(hosts []listing.Host) {
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
