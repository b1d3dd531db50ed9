package entry

import (
	"net/http"
	"time"

	"rosemarywalk/core/work"
)

// Format parses requests and writes responses in the callers' HTTP format.
type Format interface {
	// Job parses the body of a submission; the error names the offending field.
	Job(body []byte) (Submission, error)
	// Wait returns the caller's timeout from the request headers, 0 if there is none.
	Wait(h http.Header) time.Duration
	// Outcome writes the final result of a job.
	Outcome(w http.ResponseWriter, o work.Outcome)
	// State writes the state of a job.
	State(w http.ResponseWriter, state string)
	// Pending writes the number of queued jobs.
	Pending(w http.ResponseWriter, n int)
	// Refuse writes an error response. The status tells whether the caller or this
	// host is at fault.
	Refuse(w http.ResponseWriter, status int, reason, text string, retry time.Duration)
	// Readiness returns the path of the platform's readiness probe.
	Readiness() string
}

// Submission is a parsed job submission.
type Submission struct {
	Spec  string
	Steps []work.Step
	// Missing names a requested feature that this program does not support; it is
	// empty if all are supported.
	Missing string
}
