package scheduler

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core/overload"
	"rosemarywalk/core/pool"
	"rosemarywalk/io/late"
)

// load limits the jobs of this host by how late it gets to its work, and counts what it does
// because answers are overdue.
type load struct {
	meter *late.Meter

	mu         sync.Mutex
	controller overload.Controller
	report     loadReport
}

// newLoad returns a load whose host refuses new jobs to keep its delay below a target.
func newLoad(target time.Duration, meter *late.Meter) *load {
	return &load{
		meter:      meter,
		controller: overload.New(target),
	}
}

// loadReport is what happened since the latest line in the log.
type loadReport struct {
	since    time.Time
	longest  time.Duration // delay of this host
	overdue  int           // calls to backend servers that got no answer in time
	unsent   int           // calls to backend servers without a connection
	repeated int           // starts that were sent again
	refused  int           // new jobs
}

// reportPeriod is the time between two lines in the log about a host that is late.
const reportPeriod = time.Second

// minReportedDelay is the delay from which a host counts as late.
const minReportedDelay = 20 * time.Millisecond

// observe measures the delay of this host, as the expected tick has come.
func (l *load) observe(now time.Time) {
	delay := l.meter.Observe(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.meter.Stale() {
		// A stale one would make a single long delay look like several.
		l.controller = l.controller.WithDelay(now, delay)
	}
	l.report.longest = max(l.report.longest, delay)
}

// admit reports whether this host has processor time for another job, which then counts until
// ended.
func (l *load) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, refused := l.controller.WithJob()
	l.controller = next
	if refused {
		l.report.refused++
	}
	return !refused
}

// ended records the end of a job that wasn't refused.
func (l *load) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller = l.controller.WithoutJob()
}

// delay returns how late this host gets to its work.
func (l *load) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Delay()
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
		log.Info("host late", "delay", r.longest.String(), "overdue", r.overdue, "unsent", r.unsent, "repeated", r.repeated, "refused", r.refused)
	}
}
