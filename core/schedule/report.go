package schedule

import "time"

// ReportIntervals sets how often other homes are sent this host's free capacity.
type ReportIntervals struct {
	LowCapacity time.Duration // interval for a home that is low on capacity
	Normal      time.Duration // interval for any other home
	Unchanged   time.Duration // interval for reports without a change
}

// sentReport is the last report sent to a home.
type sentReport struct {
	at     time.Time
	change int
	low    bool
}

// Reporter decides to which homes (hosts that coordinate jobs) this host's free capacity
// is reported. Only a home that runs out of capacity needs current reports from other
// hosts; reporting each change to every home would take a number of messages that is
// quadratic in the number of homes.
type Reporter struct {
	limits   ReportIntervals
	sent     map[string]sentReport // last report sent, by peer address
	lowHosts map[string]time.Time  // homes low on capacity, with the time of their last report
}

// NewReporter returns a Reporter that has reported to no home yet.
func NewReporter(l ReportIntervals) *Reporter {
	return &Reporter{
		limits:   l,
		sent:     map[string]sentReport{},
		lowHosts: map[string]time.Time{},
	}
}

// SetLow records whether a home reports that it is low on capacity.
func (r *Reporter) SetLow(now time.Time, host string, low bool) {
	if low {
		r.lowHosts[host] = now
	} else {
		delete(r.lowHosts, host)
	}
}

// isLow reports whether a home recently reported that it is low on capacity. A home
// repeats this report as long as it is low.
func (r *Reporter) isLow(now time.Time, host string) bool {
	const missedRefreshes = 3
	reportedAt, reported := r.lowHosts[host]
	return reported && now.Sub(reportedAt) < missedRefreshes*r.limits.Unchanged
}

// Forget removes all state about a home.
func (r *Reporter) Forget(host string) {
	delete(r.sent, host)
	delete(r.lowHosts, host)
}

// Due returns the hosts that a report must be sent to now, and records it as sent. change
// is the version of the own capacity; low says whether this host is low on capacity.
func (r *Reporter) Due(now time.Time, hosts []string, change int, low bool) []string {
	var due []string
	for _, host := range hosts {
		last, reported := r.sent[host]
		elapsed := now.Sub(last.at)
		interval := r.limits.Unchanged
		switch {
		case !reported || (low && !last.low):
			interval = 0
		case change == last.change:
		case r.isLow(now, host):
			interval = r.limits.LowCapacity
		default:
			interval = r.limits.Normal
		}
		if elapsed >= interval {
			due = append(due, host)
			r.sent[host] = sentReport{
				at:     now,
				change: change,
				low:    low,
			}
		}
	}
	return due
}
