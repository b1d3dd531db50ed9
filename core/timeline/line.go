package timeline

import (
	"time"

	"rosemarywalk/core/work"
)

// Messages of the lines that decide something; all others are only displayed.
const (
	runOrdered     = "run ordered"
	runEnded       = "run ended"
	listening      = "listening"
	linkClosed     = "link closed"
	processStalled = "process stalled"
)

// Line is one line of a host's log, with the fields that are logged under these names.
type Line struct {
	Host    string    `json:"-"`
	Text    string    `json:"-"` // for display
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	Logger  string    `json:"logger"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Run     int       `json:"run"`
	Server  string    `json:"server"`
	End     work.End  `json:"end"`
	Home    string    `json:"home"`
	Address string    `json:"address"`
}

// key returns what a run is known by at the host that ordered it.
func (l Line) key() runKey {
	return runKey{
		task:   l.Task,
		number: l.Run,
		server: l.Server,
	}
}

// ofHost reports whether the line is about no job, but explains what became of jobs.
func (l Line) ofHost() bool { return l.Message == linkClosed || l.Message == processStalled }
