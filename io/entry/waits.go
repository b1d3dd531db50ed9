package entry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
)

// The estimate of a route's typical wait is a low quantile of the waits that its
// callers give: the least of the first ones, then each moves it by a fraction of its
// value. That fraction is small, as a wave of resubmissions must not move the estimate.
const (
	waitStep     = 0.005 // step size as a fraction of the estimate
	waitQuantile = 0.05  // fraction of callers that give a shorter wait
	firstWaits   = 20    // of so many, one is expected below the quantile
)

// longestWindow is the number of samples after which the longest wait is taken anew, as the
// waits of a route may change.
const longestWindow = 100

// waitTolerance is how far the wait of a first submission may fall below the estimate.
const waitTolerance = 300 * time.Millisecond

// waitEstimator estimates how long the callers of each route wait on the first
// submission of a job. A caller that gives a much shorter wait has submitted the job
// before, to a host that did not answer, and has already waited for the difference.
type waitEstimator struct {
	remaining bool // callers are known to state what remains of their first wait

	mu         sync.Mutex
	routes     map[string]routeWait
	configured map[string]bool // routes of the configuration; nil as long as there is none
}

func newWaitEstimator(remaining bool) waitEstimator {
	return waitEstimator{
		remaining: remaining,
		routes:    map[string]routeWait{},
	}
}

// routeWait is the estimate of one route.
type routeWait struct {
	seconds float64
	samples int     // how many it is based on
	longest float64 // of the present window of samples, in seconds
	before  float64 // of the window before
	falling bool    // a clearly shorter wait was seen, so callers state what is left of their time
}

// with returns the estimate with one more sample.
func (r routeWait) with(seconds float64) routeWait {
	if r.samples%longestWindow == 0 {
		r.longest, r.before = 0, r.longest
	}
	r.samples++
	r.longest = max(r.longest, seconds)
	switch {
	case r.samples == 1:
		r.seconds = seconds
	case r.samples <= firstWaits:
		r.seconds = min(r.seconds, seconds)
	case seconds < r.seconds:
		r.seconds -= waitStep * (1 - waitQuantile) * r.seconds
	default:
		r.seconds += waitStep * waitQuantile * r.seconds
	}
	return r
}

// elapsed returns how long a caller has already waited, given how long it will still
// wait, and updates the estimate of the route. It also reports whether this seems to be
// the caller's first submission: no caller of the route waits longer, and a resubmission
// would show, as callers state what is left of their time. If all callers are known to do so,
// it is one unless the wait is clearly shorter than usual, once that is known. The second
// submission of a caller that waits longer than others seems to be a first one.
func (w *waitEstimator) elapsed(route string, remaining time.Duration) (elapsed time.Duration, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seconds := remaining.Seconds()
	estimate := w.routes[route]
	if estimate.samples >= firstWaits {
		elapsed = max(0, duration(estimate.seconds-seconds)-waitTolerance)
	} // Before, the estimate may still be far above the quantile.
	estimate.falling = estimate.falling || elapsed > 0
	w.routes[route] = estimate.with(seconds)
	longest := max(estimate.longest, estimate.before)
	if w.remaining && estimate.samples >= firstWaits {
		return elapsed, elapsed == 0
	}
	known := w.remaining || estimate.falling
	return elapsed, known && longest > 0 && duration(longest-seconds) <= waitTolerance
}

// settled reports whether first submissions are recognised on all routes whose callers are
// known.
func (w *waitEstimator) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, estimate := range w.routes {
		if estimate.samples < firstWaits {
			return false
		}
	}
	return w.remaining && len(w.routes) > 0
}

// estimates returns what is known of the waits, sorted by route, for this host's entry in
// the store. A host that adopts an estimate takes it for settled.
func (w *waitEstimator) estimates() []listing.RouteWait {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]listing.RouteWait, 0, len(w.routes))
	for route, estimate := range w.routes {
		wait := listing.RouteWait{
			Route:   route,
			Longest: duration(max(estimate.longest, estimate.before)),
			Falling: estimate.falling,
			Samples: estimate.samples,
		}
		if estimate.samples >= firstWaits {
			wait.Typical = duration(estimate.seconds)
		}
		all = append(all, wait)
	}
	slices.SortFunc(all, func(a, b listing.RouteWait) int { return strings.Compare(a.Route, b.Route) })
	return all
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// retain drops the estimates of routes that the configuration doesn't have. Rows carry them
// from host to host, so each host must drop them.
func (w *waitEstimator) retain(routes []route.Route) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configured = map[string]bool{}
	for _, r := range routes {
		w.configured[r.Name] = true
	}
	maps.DeleteFunc(w.routes, func(name string, _ routeWait) bool { return !w.configured[name] })
}

// adopt adopts the estimates of other hosts, or of an earlier process of this host, for
// routes that have none yet, and what they have seen of the callers of all routes.
func (w *waitEstimator) adopt(hosts []listing.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	unknown := map[string]bool{}
	for _, h := range hosts {
		for _, l := range h.RouteWaits {
			unknown[l.Route] = w.routes[l.Route].samples == 0
		}
	}
	for _, h := range hosts {
		for _, l := range h.RouteWaits {
			if w.configured != nil && !w.configured[l.Route] {
				continue
			}
			estimate := w.routes[l.Route]
			if estimate.samples == 0 && l.Typical > 0 {
				estimate.seconds, estimate.samples = l.Typical.Seconds(), firstWaits
			}
			if unknown[l.Route] {
				estimate.longest = max(estimate.longest, l.Longest.Seconds())
			}
			estimate.falling = estimate.falling || l.Falling
			w.routes[l.Route] = estimate
		}
	}
}
