package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/route"
	"rosemarywalk/core/work"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/roster"
	"rosemarywalk/io/scheduler"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
)

const (
	defaultBodyBytes = 256 << 10
	idDigits         = 16
	configRetry      = 500 * time.Millisecond
	leavingRetry     = 100 * time.Millisecond
)

// Handler serves callers.
type Handler struct {
	format    Format
	watcher   *watch.Watcher
	roster    *roster.Roster
	scheduler *scheduler.Scheduler
	flag      *ready.Flag
	counters  *telemetry.Counters
	log       logr.Logger
	latency   *telemetry.Latency
	opening   opening
	leaving   atomic.Bool // a planned stop takes no more requests
	waits     waits
}

// Router returns the callers' paths. They are chosen by the configuration, so
// the router only tells the methods apart.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.PathPrefix("/").Methods(http.MethodPost).HandlerFunc(h.routed(h.submit))
	router.PathPrefix("/").Methods(http.MethodGet).HandlerFunc(h.routed(h.look))
	router.PathPrefix("/").Methods(http.MethodDelete).HandlerFunc(h.routed(h.cancel))
	return h.closing(router)
}

// closing asks callers to come back on another connection during a stop.
func (h *Handler) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.flag.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// request is a caller's request with its route.
type request struct {
	arrived time.Time
	config  route.Config
	route   route.Route
	id      string
}

func (h *Handler) routed(serve func(http.ResponseWriter, *http.Request, request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			h.refuse(w, http.StatusServiceUnavailable, core.ReasonDraining, "this host stops; another one serves", leavingRetry)
			return
		}
		arrived := time.Now()
		h.opening.wait(r.Context())
		config := h.watcher.Config()
		if config.Version == 0 {
			h.refuse(w, http.StatusServiceUnavailable, core.ReasonConfig, "no configuration has arrived yet", configRetry)
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
	h.format.Refuse(w, status, string(reason), text, retry)
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
		h.refuse(w, http.StatusBadRequest, core.ReasonMalformed, fmt.Sprintf("%q is no job ID of %d hexadecimal digits", req.id, idDigits), 0)
		return
	}
	limit := int64(req.config.Limits.MaxBodyBytes)
	if limit == 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		h.refuse(w, http.StatusRequestEntityTooLarge, core.ReasonLarge, fmt.Sprintf("the body has over %d bytes", limit), 0)
		return
	case err != nil:
		return
	}
	submission, err := h.format.Job(body)
	if err != nil {
		h.refuse(w, http.StatusBadRequest, core.ReasonMalformed, err.Error(), 0)
		return
	}
	if submission.Missing != "" {
		h.refuse(w, http.StatusServiceUnavailable, core.ReasonUnsupported, "not served: "+submission.Missing, 0)
		return
	}
	job := h.job(req, submission, h.format.Wait(r.Header))
	outcome, ok := h.scheduler.Do(r.Context(), job)
	h.answered(job, outcome, ok)
	if ok {
		h.format.Outcome(w, outcome)
	}
}

func (h *Handler) job(req request, s Submission, wait time.Duration) work.Job {
	if wait <= 0 {
		wait = req.route.Timeout
	}
	deadline := req.arrived.Add(wait)
	arrived := req.arrived.Add(-h.waits.age(req.route.Name, wait))
	return work.Job{
		ID:       req.id,
		Route:    req.route.Name,
		Service:  req.route.Service,
		Spec:     s.Spec,
		Steps:    s.Steps,
		Attempts: max(1, req.route.Attempts),
		Priority: req.route.Priority,
		Stretch:  req.route.Stretch,
		Slack:    req.route.Slack,
		Arrived:  arrived,
		Deadline: deadline,
		Version:  req.config.Version,
	}
}

// answered logs the answer to a caller.
func (h *Handler) answered(job work.Job, o work.Outcome, ok bool) {
	state := string(o.State)
	if !ok {
		state = "caller left"
	}
	age := time.Since(job.Arrived)
	h.latency.Observe(job.Route, state, age)
	h.log.Info("answer", "job", job.ID, "route", job.Route, "state", state, "reason", o.Reason,
		"retry", o.RetryAfter.String(), "home", o.Home, "age", age.String(), "wait", time.Until(job.Deadline).String(),
		"config", job.Version)
}

func (h *Handler) look(w http.ResponseWriter, r *http.Request, req request) {
	if req.id == "" {
		h.format.Pending(w, h.scheduler.Waiting(req.route.Name)+h.roster.Waiting(req.route.Name))
		return
	}
	state := h.scheduler.Find(r.Context(), req.route.Service, req.id, false)
	h.format.State(w, state)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request, req request) {
	state := h.scheduler.Find(r.Context(), req.route.Service, req.id, true)
	h.log.Info("cancel", "job", req.id, "route", req.route.Name, "state", state)
	h.format.State(w, state)
}

// able reports whether a job could be served.
func (h *Handler) able() bool { return h.watcher.Known() && h.scheduler.Able() }

// open serves the requests that were held while the host started.
func (h *Handler) open(ctx context.Context) {
	if h.opening.watch(ctx, h.able) {
		h.log.Info("callers are served")
	}
}

// Ready answers the platform's question whether this host takes callers.
func (h *Handler) Ready(w http.ResponseWriter, r *http.Request) {
	if !h.able() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	h.flag.Readyz(w, r)
}
