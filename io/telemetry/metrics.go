package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rosemarywalk/core"
)

// NewRegistry returns a registry with the metrics of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// Counters holds the counters for refusals, retries, failures and messages of the host.
type Counters struct {
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	failures *prometheus.CounterVec
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	starts   prometheus.Counter
	rows     prometheus.Counter
	store    prometheus.Counter
	repeated *prometheus.CounterVec
	kept     prometheus.Counter
	declined prometheus.Counter
	jobs     *prometheus.CounterVec
	joins    *prometheus.CounterVec

	evacuated        prometheus.Gauge
	evacuationErrors prometheus.Counter
}

// NewCounters registers the counters. Each reason has its series from the start.
func NewCounters(r *prometheus.Registry) *Counters {
	c := &Counters{
		refusals: newCounterVec("refusals_total", "Submissions refused before any task ran.", "reason"),
		retries:  newCounterVec("retries_total", "Retried tasks and calls.", "reason"),
		failures: newCounterVec("failures_total", "Jobs that failed after being accepted.", "reason"),
		messages: newCounterVec("messages_total", "Messages without a task or an answer.", "kind"),
		bytes:    newCounterVec("link_bytes_total", "Bytes written to peer links.", "kind"),
		jobs:     newCounterVec("jobs_total", "Finished jobs.", "state"),
		joins:    newCounterVec("joins_total", "Jobs passed on to another home that announced them.", "state"),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "starts_total",
			Help:      "Tasks sent to a backend server.",
		}),
		kept: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "kept_total",
			Help:      "Backend servers on which room was kept for a waiting job.",
		}),
		declined: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "declined_total",
			Help:      "Tasks that were not started where they fitted, as room is kept for another job.",
		}),
		rows: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "row_refusals_total",
			Help:      "Writes of this host's row that the store refused.",
		}),
		store: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "store_connections_total",
			Help:      "Connections opened to the platform's store.",
		}),
	}
	c.repeated = newCounterVec("store_repeats_total", "Calls to the platform's store that were sent more than once.", "answered")
	for _, answered := range []string{answeredFirst, answeredLater, answeredNone} {
		c.repeated.WithLabelValues(answered)
	}
	c.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "evacuated",
		Help:      "Evacuated failure domains.",
	})
	c.evacuationErrors = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      "evacuation_errors_total",
		Help:      "Heartbeats whose evacuated failure domains were invalid, and ignored.",
	})
	for _, reason := range core.Reasons() {
		c.refusals.WithLabelValues(string(reason))
		c.retries.WithLabelValues(string(reason))
		c.failures.WithLabelValues(string(reason))
	}
	r.MustRegister(c.refusals, c.retries, c.failures, c.messages, c.bytes, c.jobs, c.joins, c.starts, c.kept, c.declined, c.rows, c.store, c.repeated, c.evacuated, c.evacuationErrors)
	return c
}

const namespace = "rosemarywalk"

func newCounterVec(name, help, label string) *prometheus.CounterVec {
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

// RowRefused counts a write of this host's row that the store refused.
func (c *Counters) RowRefused() { c.rows.Inc() }

// StoreConnected counts a connection that was opened to the platform's store.
func (c *Counters) StoreConnected() { c.store.Inc() }

// Which attempt at a repeated call was answered.
const (
	answeredFirst = "first"
	answeredLater = "later"
	answeredNone  = "none"
)

// StoreCalled counts a call to the platform's store that took a number of attempts, of which
// the one with the number answered, from 1, was answered, or none if it is 0.
func (c *Counters) StoreCalled(attempts, answered int) {
	switch {
	case attempts <= 1:
	case answered == 0:
		c.repeated.WithLabelValues(answeredNone).Inc()
	case answered == 1:
		c.repeated.WithLabelValues(answeredFirst).Inc()
	default:
		c.repeated.WithLabelValues(answeredLater).Inc()
	}
}

// Evacuated sets the number of evacuated failure domains.
func (c *Counters) Evacuated(domains int) { c.evacuated.Set(float64(domains)) }

// EvacuationInvalid counts a heartbeat whose evacuated failure domains are invalid.
func (c *Counters) EvacuationInvalid() { c.evacuationErrors.Inc() }

// Messages counts n messages of a kind without a task or an answer.
func (c *Counters) Messages(kind string, n int) {
	c.messages.WithLabelValues(kind).Add(float64(n))
}

// Bytes counts n bytes written to a peer link for frames of a kind.
func (c *Counters) Bytes(kind string, n int) { c.bytes.WithLabelValues(kind).Add(float64(n)) }

// Started counts a task sent to a backend server.
func (c *Counters) Started() { c.starts.Inc() }

// Kept counts backend servers on which room is kept from now on, and tasks that were declined for it.
func (c *Counters) Kept(servers, declined int) {
	c.kept.Add(float64(servers))
	c.declined.Add(float64(declined))
}

// Finished counts a finished job by its state.
func (c *Counters) Finished(state string) { c.jobs.WithLabelValues(state).Inc() }

// Joined counts a job that was passed on to another home, by the state returned.
func (c *Counters) Joined(state string) { c.joins.WithLabelValues(state).Inc() }

// Latency measures the time from a job's arrival to its answer.
type Latency struct{ seconds *prometheus.HistogramVec }

// latencyBuckets are upper bounds in seconds, ranging from the run time of a short task
// to a long deadline.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.25, 1.5, 2, 4}

// NewLatency registers the latency histogram.
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

// Observe records the latency of one answer.
func (l *Latency) Observe(route, state string, age time.Duration) {
	l.seconds.WithLabelValues(route, state).Observe(age.Seconds())
}
