package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/route"
	"rosemarywalk/core/work"
	"rosemarywalk/io/clock"
	"rosemarywalk/io/peer"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/scheduler"
	"rosemarywalk/io/server"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
)

const (
	defaultBodyBytes = 256 << 10
	idDigits         = 16
	configRetryDelay = 500 * time.Millisecond
	stopRetryDelay   = 100 * time.Millisecond
	memoryRetryDelay = time.Second
	largeBodyBytes   = 16 << 10
)

// Handler serves the callers' HTTP API.
type Handler struct {
	format        Format
	watcher       *watch.Watcher
	roster        *roster.Roster
	scheduler     *scheduler.Scheduler
	flag          *ready.Flag
	counters      *telemetry.Counters
	log           logr.Logger
	latency       *telemetry.Latency
	maxTasks      int // of one job
	parsing       sync.Mutex
	startGate     startGate
	pauseGate     *pauseGate
	rejecting     atomic.Bool // set once a planned stop rejects new requests
	aged          atomic.Bool // set once startsAny was true
	waitEstimator waitEstimator
}

// Router returns the handler of the callers' API. The configuration matches hosts
// and paths to routes, so the router itself dispatches only by method.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").Methods(http.MethodPost).HandlerFunc(h.withRoute(h.submit))
	router.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(h.withRoute(h.getState))
	router.PathPrefix("/").Methods(http.MethodDelete).HandlerFunc(h.withRoute(h.cancel))
	return h.closeOnStop(router)
}

// closeOnStop makes callers open a new connection, which the balancer can send to
// another host, while this host stops.
func (h *Handler) closeOnStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.flag.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// request is a caller's request with its matched route.
type request struct {
	arrived time.Time
	config  route.Config
	route   route.Route
	id      string
}

// query returns the query for the job that a request names.
func (r request) query() scheduler.Query {
	return scheduler.Query{
		Queue:   r.route.Queue(),
		Service: r.route.Service,
		ID:      r.id,
	}
}

func (h *Handler) withRoute(serve func(http.ResponseWriter, *http.Request, request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.rejecting.Load() {
			h.refuse(w, http.StatusServiceUnavailable, core.ReasonDraining, "this host is shutting down; retry on another host", stopRetryDelay)
			return
		}
		arrived := server.Arrived(r.Context())
		h.startGate.wait(r.Context())
		h.pauseGate.wait(r.Context())
		config := h.watcher.Config()
		if config.Version == 0 {
			h.refuse(w, http.StatusServiceUnavailable, core.ReasonConfig, "this host has not received a configuration yet", configRetryDelay)
			return
		}
		route, rest, ok := config.Match(r.Host, r.URL.Path)
		if !ok {
			h.refuse(w, http.StatusNotFound, core.ReasonService, fmt.Sprintf("no route for host %q and path %q", r.Host, r.URL.Path), 0)
			return
		}
		serve(w, r, request{
			arrived: arrived,
			config:  config,
			route:   route,
			id:      rest,
		})
	}
}

func (h *Handler) refuse(w http.ResponseWriter, status int, reason core.Reason, text string, retry time.Duration) {
	h.counters.Refused(reason)
	h.log.V(1).Info("request refused", "status", status, "reason", reason, "text", text)
	h.format.WriteError(w, status, string(reason), text, retry)
}

func isID(text string) bool {
	if len(text) != idDigits {
		return false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request, req request) {
	if !isID(req.id) {
		h.refuse(w, http.StatusBadRequest, core.ReasonMalformed, fmt.Sprintf("job ID %q is not %d hexadecimal digits", req.id, idDigits), 0)
		return
	}
	limit := int64(req.config.Limits.MaxBodyBytes)
	if limit == 0 {
		limit = defaultBodyBytes
	}
	body, err := server.ReadBody(w, r, limit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		h.refuse(w, http.StatusRequestEntityTooLarge, core.ReasonLarge, fmt.Sprintf("request body exceeds %d bytes", limit), 0)
		return
	case errors.Is(err, server.ErrMemory):
		h.refuseUnread(w, r, req)
		return
	case err != nil:
		h.refuse(w, http.StatusBadRequest, core.ReasonMalformed, "request body is incomplete", 0)
		return
	}
	submission, err := h.parse(body)
	server.ReleaseBody(r.Context())
	if err != nil {
		h.refuse(w, http.StatusBadRequest, core.ReasonMalformed, err.Error(), 0)
		return
	}
	if submission.Unsupported != "" {
		h.refuse(w, http.StatusServiceUnavailable, core.ReasonUnsupported, "unsupported: "+submission.Unsupported, 0)
		return
	}
	if tasks := submission.tasks(); tasks > h.maxTasks {
		h.refuse(w, http.StatusRequestEntityTooLarge, core.ReasonLarge, fmt.Sprintf("job has %d tasks, more than the limit of %d ([entry] tasks)", tasks, h.maxTasks), 0)
		return
	}
	job := h.job(req, submission, h.format.Timeout(r.Header))
	outcome, ok := h.scheduler.Do(peer.WithConfirmation(r.Context(), callerOf(r.Context())), job)
	h.recordResponse(job, outcome, ok)
	if !ok {
		// A caller that has only closed its sending side still reads.
		outcome = work.Outcome{
			State:  work.Broken,
			Reason: core.ReasonUnconfirmed,
		}
	}
	h.format.WriteOutcome(w, outcome)
}

// refuseUnread refuses a request that wasn't read completely for want of memory. Unless it is
// its caller's first attempt, the job may run already.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, req request) {
	if wait := h.format.Timeout(r.Header); wait > 0 {
		if _, first := h.waitEstimator.elapsed(req.route.Name, wait); first {
			h.refuse(w, http.StatusServiceUnavailable, core.ReasonMemory, "too little memory to read the request; the job will not run", memoryRetryDelay)
			return
		}
	}
	h.counters.Failed(core.ReasonMemory)
	h.format.WriteError(w, http.StatusBadGateway, string(core.ReasonMemory), "too little memory to read the request; an earlier one for the job may have run", memoryRetryDelay)
}

// parse parses the body of a submission. Large ones are parsed one at a time, as a parsed job
// takes many times the memory of its body.
func (h *Handler) parse(body []byte) (Submission, error) {
	if len(body) > largeBodyBytes {
		h.parsing.Lock()
		defer h.parsing.Unlock()
	}
	return h.format.ParseJob(body)
}

// callerOf returns when the caller of a request was last known to wait: its connection is
// open.
func callerOf(ctx context.Context) peer.Confirmation {
	return func() (time.Time, bool) {
		now := clock.Now()
		return now, server.PeerOpen(ctx) && ctx.Err() == nil
	}
}

func (h *Handler) job(req request, s Submission, wait time.Duration) work.Job {
	stated := wait > 0
	if !stated {
		wait = req.route.Timeout
	}
	deadline := req.arrived.Add(wait)
	elapsed, first := h.waitEstimator.elapsed(req.route.Name, wait)
	arrived := req.arrived.Add(-elapsed)
	return work.Job{
		ID:          req.id,
		Queue:       req.route.Queue(),
		Route:       req.route.Name,
		Service:     req.route.Service,
		Spec:        s.Spec,
		Steps:       s.Steps,
		MaxAttempts: max(1, req.route.MaxAttempts),
		Priority:    req.route.Priority,
		Stretch:     req.route.Stretch,
		Slack:       req.route.Slack,
		Arrived:     arrived,
		Received:    req.arrived,
		First:       first && stated,
		Deadline:    deadline,
		Version:     req.config.Version,
	}
}

// recordResponse logs the response to a caller and records its latency.
func (h *Handler) recordResponse(job work.Job, o work.Outcome, ok bool) {
	state := string(o.State)
	if !ok {
		state = "caller left"
	}
	age := clock.Since(job.Arrived)
	h.latency.Observe(job.Route, state, age)
	h.log.Info("answer", "job", job.ID, "route", job.Route, "state", state, "reason", o.Reason,
		"retry", o.RetryAfter.String(), "home", o.Home, "age", age.String(), "wait", clock.Until(job.Deadline).String(),
		"config", job.Version, "domain", h.roster.Self().Domain,
		"objective", job.Objective(job.DeclaredPath()).Sub(job.Arrived).String())
}

func (h *Handler) getState(w http.ResponseWriter, r *http.Request, req request) {
	if req.id == "" {
		h.format.WritePending(w, h.scheduler.Waiting(req.route.Name)+h.roster.Waiting(req.route.Name))
		return
	}
	if !isID(req.id) {
		h.refuse(w, http.StatusGone, core.ReasonMalformed, malformedID(req.id), 0)
		return
	}
	ctx, stop := h.untilDeadline(r, req)
	defer stop()
	state, known := h.scheduler.Find(ctx, req.query())
	h.writeState(w, state, known)
}

func (h *Handler) writeState(w http.ResponseWriter, state string, known bool) {
	if known {
		h.format.WriteState(w, state)
		return
	}
	h.refuse(w, http.StatusGatewayTimeout, core.ReasonUnreachable, "it isn't known whether a host that can't be reached has the job", 0)
}

func malformedID(id string) string {
	return fmt.Sprintf("no such job: ID %.*q is not %d hexadecimal digits", 2*idDigits, id, idDigits)
}

// cancel answers once no host starts the job any more, or when its caller stops waiting.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request, req request) {
	if !isID(req.id) {
		h.refuse(w, http.StatusGone, core.ReasonMalformed, malformedID(req.id), 0)
		return
	}
	ctx, stop := h.untilDeadline(r, req)
	defer stop()
	state, known := h.scheduler.Cancel(ctx, req.query())
	h.log.Info("cancel", "job", req.id, "route", req.route.Name, "state", state, "known", known, "age", clock.Since(req.arrived).String())
	h.writeState(w, state, known)
}

// untilDeadline returns a context that ends when the answer to a request about a job has to be
// sent to reach its caller in time.
func (h *Handler) untilDeadline(r *http.Request, req request) (context.Context, context.CancelFunc) {
	wait := cmp.Or(h.format.Timeout(r.Header), req.route.Timeout, queryTimeout)
	return context.WithTimeout(r.Context(), wait-clock.Since(req.arrived)-scheduler.AnswerMargin)
}

// queryTimeout is how long a caller waits for an answer about a job if neither it nor its route
// says.
const queryTimeout = 10 * time.Second

// canServe reports whether this host can serve jobs: the configuration and the list of
// backend servers were read, and the homes of new jobs own backend servers.
func (h *Handler) canServe() bool { return h.watcher.Ready() && h.scheduler.CanPlace() }

// releaseHeld releases the held requests once the host can serve jobs.
func (h *Handler) releaseHeld(ctx context.Context) {
	if h.startGate.poll(ctx, h.canServe) {
		h.log.Info("accepting requests")
	}
}

// startsAny reports whether the jobs that callers may send need not wait for the age of this
// host. Once true it stays so, although the host may become a home anew.
func (h *Handler) startsAny() bool {
	if !h.aged.Load() && (h.waitEstimator.settled() || h.scheduler.KnowsEarlierRuns()) {
		h.aged.Store(true)
	}
	return h.aged.Load()
}

// Ready is the readiness probe of the platform.
func (h *Handler) Ready(w http.ResponseWriter, r *http.Request) {
	if !h.canServe() || !h.startsAny() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	h.flag.Readyz(w, r)
}
