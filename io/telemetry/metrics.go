package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rosemarywalk/core"
)

// NewRegistry returns a registry with the process's own metrics.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// Counters counts what the host refused, retried, failed and sent.
type Counters struct {
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	failures *prometheus.CounterVec
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	starts   prometheus.Counter
	jobs     *prometheus.CounterVec
}

// NewCounters registers the counters, one series for each reason from the start.
func NewCounters(r *prometheus.Registry) *Counters {
	c := &Counters{
		refusals: vector("refusals_total", "Submissions refused before anything ran.", "reason"),
		retries:  vector("retries_total", "Tasks and calls tried again.", "reason"),
		failures: vector("failures_total", "Jobs that failed after being accepted.", "reason"),
		messages: vector("messages_total", "Messages that carried no task and no answer.", "kind"),
		bytes:    vector("link_bytes_total", "Bytes written to peer links.", "kind"),
		jobs:     vector("jobs_total", "Jobs finished.", "state"),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "starts_total",
			Help:      "Tasks sent to a backend server.",
		}),
	}
	for _, reason := range core.Reasons() {
		c.refusals.WithLabelValues(string(reason))
		c.retries.WithLabelValues(string(reason))
		c.failures.WithLabelValues(string(reason))
	}
	r.MustRegister(c.refusals, c.retries, c.failures, c.messages, c.bytes, c.jobs, c.starts)
	return c
}

const namespace = "rosemarywalk"

func vector(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, []string{label})
}

// Refused counts a refusal.
func (c *Counters) Refused(reason core.Reason) { c.refusals.WithLabelValues(string(reason)).Inc() }

// Retried counts a retry.
func (c *Counters) Retried(reason core.Reason) { c.retries.WithLabelValues(string(reason)).Inc() }

// Failed counts a failed job.
func (c *Counters) Failed(reason core.Reason) { c.failures.WithLabelValues(string(reason)).Inc() }

// Messages counts n messages of a kind that carry no task and no answer.
func (c *Counters) Messages(kind string, n int) {
	c.messages.WithLabelValues(kind).Add(float64(n))
}

// Bytes counts bytes written to a peer link, by what the frame carries.
func (c *Counters) Bytes(kind string, n int) { c.bytes.WithLabelValues(kind).Add(float64(n)) }

// Started counts a task sent to a backend server.
func (c *Counters) Started() { c.starts.Inc() }

// Finished counts a finished job by its state.
func (c *Counters) Finished(state string) { c.jobs.WithLabelValues(state).Inc() }

// Latency measures the time from a job's arrival to its answer.
type Latency struct{ seconds *prometheus.HistogramVec }

// latencyBuckets are upper bounds in seconds, from a short task to a long deadline.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.25, 1.5, 2, 4}

// NewLatency registers the histogram.
func NewLatency(r *prometheus.Registry) *Latency {
	l := &Latency{seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "answer_seconds",
		Help:      "Time from a job's arrival to its answer.",
		Buckets:   latencyBuckets,
	}, []string{"route", "state"})}
	r.MustRegister(l.seconds)
	return l
}

// Observe notes one answer.
func (l *Latency) Observe(route, state string, age time.Duration) {
	l.seconds.WithLabelValues(route, state).Observe(age.Seconds())
}
