package entry

import (
	"net/http"
	"time"

	"rosemarywalk/core/work"
)

// Format parses requests and writes responses in the callers' HTTP format.
type Format interface {
	// ParseJob parses the body of a submission; the error names the offending field.
	ParseJob(body []byte) (Submission, error)
	// Timeout returns the caller's timeout from the request headers, 0 if there is none.
	Timeout(h http.Header) time.Duration
	// WriteOutcome writes the final result of a job.
	WriteOutcome(w http.ResponseWriter, o work.Outcome)
	// WriteState writes the state of a job.
	WriteState(w http.ResponseWriter, state string)
	// WritePending writes the number of queued jobs.
	WritePending(w http.ResponseWriter, n int)
	// WriteError writes an error response. The status tells whether the caller or this
	// host is at fault.
	WriteError(w http.ResponseWriter, status int, reason, text string, retry time.Duration)
	// ReadinessPath returns the path of the platform's readiness probe.
	ReadinessPath() string
}

// Submission is a parsed job submission.
type Submission struct {
	Spec  string
	Steps []work.Step
	// Unsupported names a requested feature that this program does not support; it is
	// empty if all are supported.
	Unsupported string
}

func (s Submission) tasks() int {
	tasks := 0
	for _, step := range s.Steps {
		tasks += step.Count
	}
	return tasks
}
