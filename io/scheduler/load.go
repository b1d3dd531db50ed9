package scheduler

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core/pool"
)

// load measures how late this host gets to its work, by that of its ticks, and what it does
// meanwhile because answers are overdue.
type load struct {
	mu     sync.Mutex
	due    time.Time // of the next tick; zero before the first one
	report loadReport
}

// loadReport is what happened since the latest line in the log.
type loadReport struct {
	since    time.Time
	longest  time.Duration // delay of a tick
	overdue  int           // calls to backend servers that got no answer in time
	unsent   int           // calls to backend servers without a connection
	repeated int           // starts that were sent again
}

// reportPeriod is the time between two lines in the log about a host that is late.
const reportPeriod = time.Second

// minReportedDelay is the delay from which a host counts as late.
const minReportedDelay = 20 * time.Millisecond

// expect records when the next tick is due.
func (l *load) expect(due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = due
}

// observe records that the expected tick has come.
func (l *load) observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.longest = max(l.report.longest, now.Sub(l.due))
}

// recordCall counts a call to a backend server by its result.
func (l *load) recordCall(result pool.Result, repeated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch result {
	case pool.Unanswered:
		l.report.overdue++
	case pool.NotSent:
		l.report.unsent++
	}
	if repeated {
		l.report.repeated++
	}
}

// log logs how late this host was since the latest line, if it was, once a period.
func (l *load) log(now time.Time, log logr.Logger) {
	l.mu.Lock()
	r := l.report
	due := now.Sub(r.since) >= reportPeriod
	if due {
		l.report = loadReport{since: now}
	}
	l.mu.Unlock()
	if due && (r.longest >= minReportedDelay || r.overdue > 0) {
		log.Info("host late", "delay", r.longest.String(), "overdue", r.overdue, "unsent", r.unsent, "repeated", r.repeated)
	}
}
