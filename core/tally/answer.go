package tally

import (
	"time"

	"rosemarywalk/core/work"
)

// Answer is what one caller got for one submission.
type Answer struct {
	At        time.Time
	Route     string
	Domain    string // failure domain of the host that answered
	State     string // a work.State, or another word if the caller left
	Reason    string // why the job did not complete, or ""
	Age       time.Duration
	Objective time.Duration // latency objective by declared run times; 0 if unknown
}

// Causes of answers that completed. All other causes are the state and the reason.
const (
	CauseInTime = "in time"
	CauseLate   = "late"
)

// Cause returns CauseInTime, CauseLate, or the state and the reason of a job that did not
// complete.
func (a Answer) Cause() string {
	switch {
	case a.State != string(work.Completed):
		if a.Reason == "" {
			return a.State
		}
		return a.State + " " + a.Reason
	case a.Objective > 0 && a.Age > a.Objective:
		return CauseLate
	}
	return CauseInTime
}
