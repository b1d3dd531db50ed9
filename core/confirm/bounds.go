package confirm

import "time"

// Bounds are the time limits that keep two attempts at a job apart: when its caller may
// have submitted it to another host, no run of the first attempt is left.
type Bounds struct {
	Lease           time.Duration // longest lease of a backend server
	MaxAge          time.Duration // time since the caller was last known to wait after which no run is started
	StopUnconfirmed time.Duration // the same, after which a run is stopped
	MaxUnconfirmed  time.Duration // the same, at which the lease has ended
}

const (
	// callerMargin allows for the time until the end of a caller's connection is seen.
	callerMargin = 100 * time.Millisecond
	// Shares of MaxUnconfirmed. A lease that is much shorter leaves time for confirmations
	// that come late.
	leaseShare = 0.6
	stopShare  = 0.7
)

// NewBounds returns the limits for callers that submit a job again no sooner than resubmit
// after an attempt has ended, and for leases of a wanted length. A resubmit of 0 sets no
// limits.
func NewBounds(resubmit, lease time.Duration) Bounds {
	if resubmit <= 0 {
		return Bounds{Lease: lease}
	}
	limit := max(resubmit-callerMargin, callerMargin)
	lease, stop := min(lease, fraction(leaseShare, limit)), fraction(stopShare, limit)
	return Bounds{
		Lease:           lease,
		MaxAge:          min(limit-lengthen(lease), stop) - callerMargin/2,
		StopUnconfirmed: stop,
		MaxUnconfirmed:  limit,
	}
}

func fraction(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}
