package core

// Reason names why a task was refused, retried or failed.
type Reason string

// The reasons that a host gives to callers and counts in its metrics.
const (
	ReasonDraining    Reason = "draining"    // the host is shutting down
	ReasonDeadline    Reason = "deadline"    // the job's deadline passed
	ReasonOverload    Reason = "overload"    // the queue is full
	ReasonWait        Reason = "wait"        // the estimated wait passes the deadline
	ReasonFit         Reason = "fit"         // no backend server is large enough
	ReasonQuota       Reason = "quota"       // the team's share of its quota is used up
	ReasonService     Reason = "service"     // no such service is known
	ReasonStore       Reason = "store"       // the platform's table did not answer
	ReasonConnect     Reason = "connect"     // no connection to the backend server
	ReasonBusy        Reason = "busy"        // the backend server refused before starting
	ReasonReset       Reason = "reset"       // the connection was lost after the start
	ReasonStatus      Reason = "status"      // the backend server answered with an error
	ReasonMalformed   Reason = "malformed"   // the backend server's answer can't be passed on
	ReasonLarge       Reason = "large"       // the backend server's answer is over the limit
	ReasonCanceled    Reason = "canceled"    // the caller canceled the job
	ReasonSibling     Reason = "sibling"     // another task of the job failed first
	ReasonBudget      Reason = "budget"      // the retry budget is used up
	ReasonLost        Reason = "lost"        // the owner of the ticket is gone
	ReasonUnreachable Reason = "unreachable" // the owner of the ticket can't be reached now
	ReasonForgotten   Reason = "forgotten"   // the answer is no longer held
	ReasonMismatch    Reason = "mismatch"    // the ticket was used for another submission
	ReasonLink        Reason = "link"        // a peer link broke during a call
	ReasonAttempts    Reason = "attempts"    // a task failed too often
	ReasonUnknown     Reason = "unknown"     // a run's end can't be known
	ReasonConfig      Reason = "config"      // no configuration has arrived yet
	ReasonHome        Reason = "home"        // no host coordinates jobs now
	ReasonRoom        Reason = "room"        // a pool had no room for a lent task
	ReasonSlow        Reason = "slow"        // a backend server was much slower than predicted
	ReasonLapsed      Reason = "lapsed"      // a lease ran out, or the backend server is gone
	ReasonUnsupported Reason = "unsupported" // the job asks for what isn't built
	ReasonDrainLimit  Reason = "drainlimit"  // a planned stop ran into its time limit
	ReasonStall       Reason = "stall"       // the job's host stood still for too long
)

// Reasons lists every reason, so that each counter exists from the start.
func Reasons() []Reason {
	return []Reason{
		ReasonDraining, ReasonDeadline, ReasonOverload,
		ReasonWait, ReasonFit, ReasonQuota, ReasonService, ReasonStore,
		ReasonConnect, ReasonBusy, ReasonReset, ReasonStatus,
		ReasonMalformed, ReasonLarge, ReasonCanceled, ReasonSibling,
		ReasonBudget, ReasonLost, ReasonUnreachable, ReasonForgotten,
		ReasonMismatch, ReasonLink, ReasonDrainLimit, ReasonAttempts,
		ReasonUnknown, ReasonConfig, ReasonHome, ReasonRoom, ReasonSlow,
		ReasonLapsed, ReasonUnsupported, ReasonStall,
	}
}
