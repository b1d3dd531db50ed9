package dispatch

import (
	"time"

	"rosemarywalk/core/place"
)

// Submission is a checked job, ready to run.
type Submission struct {
	Service     string
	Team        string
	Bodies      [][]byte // one for each task
	Type        string   // HTTP content type of the bodies
	Need        place.Size
	Deadline    time.Duration // from arrival
	Idempotent  bool          // tasks may be sent again after a start
	Raw         bool          // an error of the backend server is an answer
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
