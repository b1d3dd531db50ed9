package dispatch

import (
	"time"

	"rosemarywalk/core/place"
)

// Submission is a validated job.
type Submission struct {
	Service     string
	Team        string
	Bodies      [][]byte // one for each task
	Type        string   // HTTP content type of the bodies
	Need        place.Size
	Deadline    time.Duration // from arrival
	Idempotent  bool          // tasks may be retried after they started
	Raw         bool          // error responses of backend servers are passed to the caller
	Fingerprint uint64
}

// bytes returns the size of all bodies.
func (s Submission) bytes() int {
	n := 0
	for _, b := range s.Bodies {
		n += len(b)
	}
	return n
}
