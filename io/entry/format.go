package entry

import (
	"net/http"
	"time"

	"rosemarywalk/core/work"
)

// Format reads and writes what callers speak.
type Format interface {
	// Job reads the steps of a submission; its error names the place.
	Job(body []byte) (Submission, error)
	// Wait returns how long a caller waits for an answer, 0 when it doesn't say.
	Wait(h http.Header) time.Duration
	// Outcome writes a job's final answer.
	Outcome(w http.ResponseWriter, o work.Outcome)
	// State writes what is known of a job.
	State(w http.ResponseWriter, state string)
	// Pending writes how many jobs wait.
	Pending(w http.ResponseWriter, n int)
	// Refuse writes an error of the caller, or of this host.
	Refuse(w http.ResponseWriter, status int, reason, text string, retry time.Duration)
	// Readiness is the path that the platform asks.
	Readiness() string
}

// Submission is what a caller hands in.
type Submission struct {
	Spec  string
	Steps []work.Step
	// Missing names what the job asks for and this program hasn't got.
	Missing string
}
