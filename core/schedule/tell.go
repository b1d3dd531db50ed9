package schedule

import "time"

// ReportIntervals sets how often other homes are sent this host's free capacity.
type ReportIntervals struct {
	LowCapacity time.Duration // interval for a home that is low on capacity
	Normal      time.Duration // interval for any other home
	Unchanged   time.Duration // interval for reports without a change
}

// notice is the last report sent to a home.
type notice struct {
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
	sent     map[string]notice    // last report sent, by peer address
	lowHosts map[string]time.Time // homes low on capacity, with the time of their last report
}

// NewReporter returns a Teller that has reported to no home yet.
func NewReporter(l ReportIntervals) *Reporter {
	return &Reporter{
		limits:   l,
		sent:     map[string]notice{},
		lowHosts: map[string]time.Time{},
	}
}

// SetLow records whether a home reports that it is low on capacity.
func (t *Reporter) SetLow(now time.Time, host string, low bool) {
	if low {
		t.lowHosts[host] = now
	} else {
		delete(t.lowHosts, host)
	}
}

// isLow reports whether a home recently reported that it is low on capacity. A home
// repeats this report as long as it holds.
func (t *Reporter) isLow(now time.Time, host string) bool {
	const missedRefreshes = 3
	reportedAt, reported := t.lowHosts[host]
	return reported && now.Sub(reportedAt) < missedRefreshes*t.limits.Unchanged
}

// Forget removes all state about a home.
func (t *Reporter) Forget(host string) {
	delete(t.sent, host)
	delete(t.lowHosts, host)
}

// Due returns the hosts that a report must be sent to now, and records it as sent. change
// is the version of the own capacity; low says whether this host is low on capacity.
func (t *Reporter) Due(now time.Time, hosts []string, change int, low bool) []string {
	var due []string
	for _, host := range hosts {
		last, known := t.sent[host]
		elapsed := now.Sub(last.at)
		interval := t.limits.Unchanged
		switch {
		case !known || (low && !last.low):
			interval = 0
		case change == last.change:
		case t.isLow(now, host):
			interval = t.limits.LowCapacity
		default:
			interval = t.limits.Normal
		}
		if elapsed >= interval {
			due = append(due, host)
			t.sent[host] = notice{
				at:     now,
				change: change,
				low:    low,
			}
		}
	}
	return due
}
