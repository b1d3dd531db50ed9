package confirm

import "time"

// Bounds are the time limits that keep two attempts at a job apart: when its caller may
// have submitted it to another host, no run of the first attempt is left.
type Bounds struct {
	Lease           time.Duration // longest lease of a backend server
	MaxAge          time.Duration // time since the caller was last known to wait after which no run is started
	StopUnconfirmed time.Duration // the same, after which a run is stopped
	MaxUnconfirmed  time.Duration // the same, at which the lease has ended

	AnnounceAge     time.Duration // age from which the announcement of a job is repeated; leaves time for answers, so homes without one by then count as unreachable
	ShortJob        time.Duration // duration below which the runs of a job end while its caller can't have submitted it again
	AnnouncementTTL time.Duration // how long another home doesn't start an announced job; longer than MaxUnconfirmed by any clock
}

const (
	// maxCallerMargin allows for the time until the end of a caller's connection is seen.
	maxCallerMargin   = 100 * time.Millisecond
	callerMarginShare = 0.25 // of a resubmission time, at most
	// Shares of MaxUnconfirmed. A lease that is much shorter leaves time for confirmations
	// that come late.
	leaseShare = 0.6
	stopShare  = 0.7
	// clocks is the number of clocks that may drift against each other: those of a server
	// and of two homes.
	clocks = 3
)

// NewBounds returns the limits for callers that submit a job again no sooner than resubmit
// after an attempt has ended, and for leases of a wanted length. A resubmit of 0 sets no
// limits.
func NewBounds(resubmit, lease time.Duration) Bounds {
	if resubmit <= 0 {
		return Bounds{Lease: lease}
	}
	margin := min(maxCallerMargin, fraction(callerMarginShare, resubmit))
	limit := resubmit - margin
	lease, stop := min(lease, fraction(leaseShare, limit)), fraction(stopShare, limit)
	maxAge := min(limit-lengthen(lease), stop) - margin/2
	return Bounds{
		Lease:           lease,
		MaxAge:          maxAge,
		StopUnconfirmed: stop,
		MaxUnconfirmed:  limit,
		AnnounceAge:     maxAge / 2,
		ShortJob:        maxAge,
		AnnouncementTTL: limit + clocks*drift(limit),
	}
}

func fraction(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}
