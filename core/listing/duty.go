package listing

import "time"

// ReaderRoleLimits sets when a host reads the store's lists itself.
type ReaderRoleLimits struct {
	MaxReaders   int           // hosts of a failure domain up to which each reads for itself
	MaxUpdateAge time.Duration // age up to which the news of another host is enough
	RankDelay    time.Duration // that each next host waits longer than the one before
}

// ReaderRole decides whether a host reads the store's lists itself. Of many hosts in a
// failure domain one reads, and tells the others what changed: what all of them
// read would grow with hosts times rows. When its news stop, the next one reads.
type ReaderRole struct {
	limits ReaderRoleLimits
	heard  time.Time // when news last came
}

// NewReaderRole returns the duty of a host that has heard no news.
func NewReaderRole(l ReaderRoleLimits) ReaderRole { return ReaderRole{limits: l} }

// WithUpdate returns the duty after news from another host.
func (d ReaderRole) WithUpdate(now time.Time) ReaderRole {
	d.heard = now
	return d
}

// IsShared reports whether hosts read for each other, where a failure domain has a
// number of them.
func (d ReaderRole) IsShared(hosts int) bool { return hosts > d.limits.MaxReaders }

// ShouldRead reports whether the host reads, as the one of a rank, from 0, among the
// hosts of its failure domain.
func (d ReaderRole) ShouldRead(now time.Time, rank, hosts int) bool {
	if rank <= 0 || !d.IsShared(hosts) || d.heard.IsZero() {
		return true
	}
	return now.Sub(d.heard) >= d.limits.MaxUpdateAge+time.Duration(rank)*d.limits.RankDelay
}
