package schedule

import (
	"maps"
	"slices"
	"time"
)

// ReportIntervals sets how often other hosts are sent this host's free capacity.
type ReportIntervals struct {
	LowCapacity time.Duration // interval for a host that is low on capacity
	Normal      time.Duration // interval for any other host
	Unchanged   time.Duration // interval for reports without a change
}

// sentReport is the last report sent to a host.
type sentReport struct {
	at     time.Time
	change int
	low    bool
}

// Reporter decides to which hosts this host's free capacity is reported: its partners, and
// others that report to be low on capacity, such as a host that was a home (a host that
// coordinates jobs) and still has queued jobs. Only a home that runs out of capacity needs
// current reports from other hosts; reporting each change to every home would take a number
// of messages that is quadratic in the number of homes.
type Reporter struct {
	limits   ReportIntervals
	sent     map[string]sentReport // last report sent, by peer address
	lowHosts map[string]time.Time  // hosts low on capacity, with the time of their last report
}

// NewReporter returns a Reporter that has reported to no host yet.
func NewReporter(l ReportIntervals) *Reporter {
	return &Reporter{
		limits:   l,
		sent:     map[string]sentReport{},
		lowHosts: map[string]time.Time{},
	}
}

// SetLow records whether a host reports that it is low on capacity.
func (r *Reporter) SetLow(now time.Time, host string, low bool) {
	if low {
		r.lowHosts[host] = now
	} else {
		delete(r.lowHosts, host)
	}
}

// isLow reports whether a host recently reported that it is low on capacity. A host
// repeats this report as long as it is low.
func (r *Reporter) isLow(now time.Time, host string) bool {
	const missedRefreshes = 3
	reportedAt, reported := r.lowHosts[host]
	return reported && now.Sub(reportedAt) < missedRefreshes*r.limits.Unchanged
}

// recipients returns the partners and the other hosts that are low on capacity, and removes
// expired reports of low capacity.
func (r *Reporter) recipients(now time.Time, partners []string) []string {
	hosts := slices.Clone(partners)
	for _, host := range slices.Sorted(maps.Keys(r.lowHosts)) {
		switch {
		case !r.isLow(now, host):
			delete(r.lowHosts, host)
		case !slices.Contains(partners, host):
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Forget removes all state about a host.
func (r *Reporter) Forget(host string) {
	delete(r.sent, host)
	delete(r.lowHosts, host)
}

// Due returns the hosts that a report must be sent to now, and records it as sent. partners
// are the homes that share capacity with this host; change is the version of the own
// capacity; low says whether this host is low on capacity.
func (r *Reporter) Due(now time.Time, partners []string, change int, low bool) []string {
	var due []string
	for _, host := range r.recipients(now, partners) {
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
