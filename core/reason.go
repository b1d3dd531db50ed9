package core

// Reason is the cause of a refusal, a retry or a failure of a task.
type Reason string

// Reasons are returned to callers and used as metric labels.
const (
	ReasonDraining     Reason = "draining"    // the host is shutting down
	ReasonDeadline     Reason = "deadline"    // the job's deadline passed
	ReasonOverload     Reason = "overload"    // the queue is full, or the host is short of processor time
	ReasonWait         Reason = "wait"        // the estimated queueing delay exceeds the time left
	ReasonFit          Reason = "fit"         // no backend server is large enough
	ReasonQuota        Reason = "quota"       // this host's share of the team's quota is exhausted
	ReasonService      Reason = "service"     // unknown service
	ReasonStore        Reason = "store"       // the platform's table did not respond
	ReasonConnect      Reason = "connect"     // could not connect to the backend server
	ReasonBusy         Reason = "busy"        // the backend server rejected the task before starting it
	ReasonReset        Reason = "reset"       // the connection was lost after the task had started
	ReasonStatus       Reason = "status"      // the backend server returned an error status
	ReasonMalformed    Reason = "malformed"   // the backend server's response, or a request, is malformed
	ReasonLarge        Reason = "large"       // a response, a request or a job exceeds a size limit
	ReasonCanceled     Reason = "canceled"    // the caller canceled the job
	ReasonSibling      Reason = "sibling"     // another task of the job failed first
	ReasonBudget       Reason = "budget"      // the retry budget is exhausted
	ReasonLost         Reason = "lost"        // the host that owns the ticket is gone
	ReasonUnreachable  Reason = "unreachable" // the host that owns the ticket is temporarily unreachable
	ReasonForgotten    Reason = "forgotten"   // the result is no longer retained
	ReasonMismatch     Reason = "mismatch"    // the ticket or the job ID was already used for a different submission
	ReasonLink         Reason = "link"        // a peer connection was lost during a call
	ReasonAttempts     Reason = "attempts"    // a task exceeded its maximum number of attempts
	ReasonUnknown      Reason = "unknown"     // the outcome of a run can't be determined
	ReasonConfig       Reason = "config"      // no configuration has been loaded yet
	ReasonHome         Reason = "home"        // no home, the host that coordinates jobs, is available
	ReasonCapacity     Reason = "room"        // a pool had no capacity for a task from another home
	ReasonSlow         Reason = "slow"        // a run took much longer than predicted
	ReasonLeaseExpired Reason = "lapsed"      // a lease expired, or the backend server is gone
	ReasonCrashed      Reason = "crashed"     // the backend server crashed
	ReasonCrashes      Reason = "crashes"     // backend servers crashed under one of the job's tasks
	ReasonUnsupported  Reason = "unsupported" // the job requests an unsupported feature
	ReasonDrainLimit   Reason = "drainlimit"  // a graceful shutdown reached its time limit
	ReasonShared       Reason = "shared"      // another caller still waits for the job
	ReasonStall        Reason = "stall"       // the process of the job's host was stalled for too long
	ReasonElsewhere    Reason = "elsewhere"   // another home has runs of the job
	ReasonMajority     Reason = "majority"    // too few hosts vote for the home of the job
	ReasonMemory       Reason = "memory"      // the memory for requests was needed for others
	ReasonEvacuated    Reason = "evacuated"   // the failure domain of the backend server is evacuated, or those of all
	ReasonUnconfirmed  Reason = "unconfirmed" // the job's caller was not confirmed to be waiting recently enough
)

// Reasons returns all reasons, so that each counter is exported from startup on.
func Reasons() []Reason {
	return []Reason{
		ReasonDraining, ReasonDeadline, ReasonOverload,
		ReasonWait, ReasonFit, ReasonQuota, ReasonService, ReasonStore,
		ReasonConnect, ReasonBusy, ReasonReset, ReasonStatus,
		ReasonMalformed, ReasonLarge, ReasonCanceled, ReasonSibling,
		ReasonBudget, ReasonLost, ReasonUnreachable, ReasonForgotten,
		ReasonMismatch, ReasonLink, ReasonDrainLimit, ReasonAttempts,
		ReasonUnknown, ReasonConfig, ReasonHome, ReasonCapacity, ReasonSlow,
		ReasonLeaseExpired, ReasonCrashed, ReasonCrashes, ReasonUnsupported, ReasonShared, ReasonStall, ReasonUnconfirmed, ReasonMajority,
		ReasonElsewhere, ReasonMemory, ReasonEvacuated,
	}
}
