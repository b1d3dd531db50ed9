package listing

import "time"

// ReaderRoleLimits configures when a host reads the lists from the store itself.
type ReaderRoleLimits struct {
	MaxReaders   int           // number of hosts in a failure domain up to which all of them read
	MaxUpdateAge time.Duration // maximum age of updates from another host
	RankDelay    time.Duration // additional delay per rank before a host starts to read
}

// ReaderRole decides whether a host reads the lists from the store itself. In a failure
// domain with many hosts only one reads and sends the changes to the others, because
// the load of reads by all would grow with hosts times rows. If its updates stop, the
// host with the next rank starts to read.
type ReaderRole struct {
	limits     ReaderRoleLimits
	lastUpdate time.Time // time of the last update from another host
}

// NewReaderRole returns the role of a host that has received no updates.
func NewReaderRole(l ReaderRoleLimits) ReaderRole { return ReaderRole{limits: l} }

// WithUpdate returns the role after an update from another host.
func (r ReaderRole) WithUpdate(now time.Time) ReaderRole {
	r.lastUpdate = now
	return r
}

// IsShared reports whether one host reads for all, in a failure domain with the given
// number of hosts.
func (r ReaderRole) IsShared(hosts int) bool { return hosts > r.limits.MaxReaders }

// ShouldRead reports whether a host reads the lists now, given its rank, starting at 0,
// among the hosts of its failure domain.
func (r ReaderRole) ShouldRead(now time.Time, rank, hosts int) bool {
	if rank <= 0 || !r.IsShared(hosts) || r.lastUpdate.IsZero() {
		return true
	}
	return now.Sub(r.lastUpdate) >= r.limits.MaxUpdateAge+time.Duration(rank)*r.limits.RankDelay
}
