package listing

import "time"

// DutyLimits sets when a host reads the store's lists itself.
type DutyLimits struct {
	Few       int           // hosts of a failure domain up to which each reads for itself
	Fresh     time.Duration // age up to which the news of another host is enough
	RankDelay time.Duration // that each next host waits longer than the one before
}

// Duty decides whether a host reads the store's lists itself. Of many hosts in a
// failure domain one reads, and tells the others what changed: what all of them
// read would grow with hosts times rows. When its news stop, the next one reads.
type Duty struct {
	limits DutyLimits
	heard  time.Time // when news last came
}

// NewDuty returns the duty of a host that has heard no news.
func NewDuty(l DutyLimits) Duty { return Duty{limits: l} }

// WithNews returns the duty after news from another host.
func (d Duty) WithNews(now time.Time) Duty {
	d.heard = now
	return d
}

// Shared reports whether hosts read for each other, where a failure domain has a
// number of them.
func (d Duty) Shared(hosts int) bool { return hosts > d.limits.Few }

// Reads reports whether the host reads, as the one of a rank, from 0, among the
// hosts of its failure domain.
func (d Duty) Reads(now time.Time, rank, hosts int) bool {
	if rank <= 0 || !d.Shared(hosts) || d.heard.IsZero() {
		return true
	}
	return now.Sub(d.heard) >= d.limits.Fresh+time.Duration(rank)*d.limits.RankDelay
}
