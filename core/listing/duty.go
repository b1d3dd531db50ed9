package listing

import "time"

// DutyLimits configures when a host reads the lists from the store itself.
type DutyLimits struct {
	Few   int           // number of hosts in a failure domain up to which all of them read
	Fresh time.Duration // maximum age of updates from another host
	Step  time.Duration // additional delay per rank before a host starts to read
}

// Duty decides whether a host reads the lists from the store itself. In a failure
// domain with many hosts only one reads and sends the changes to the others, because
// the load of reads by all would grow with hosts times rows. If its updates stop, the
// host with the next rank starts to read.
type Duty struct {
	limits     DutyLimits
	lastUpdate time.Time // time of the last update from another host
}

// NewDuty returns the Duty of a host that has received no updates.
func NewDuty(l DutyLimits) Duty { return Duty{limits: l} }

// WithNews returns the Duty after an update from another host.
func (d Duty) WithNews(now time.Time) Duty {
	d.lastUpdate = now
	return d
}

// Shared reports whether one host reads for all, in a failure domain with the given
// number of hosts.
func (d Duty) Shared(hosts int) bool { return hosts > d.limits.Few }

// Reads reports whether a host reads the lists now, given its rank, starting at 0,
// among the hosts of its failure domain.
func (d Duty) Reads(now time.Time, rank, hosts int) bool {
	if rank <= 0 || !d.Shared(hosts) || d.lastUpdate.IsZero() {
		return true
	}
	return now.Sub(d.lastUpdate) >= d.limits.Fresh+time.Duration(rank)*d.limits.Step
}
