package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/io/server"
	"rosemarywalk/io/wire"
)

// The HTTP headers of the callers' protocol.
const (
	HeaderTicket     = "Ticket"
	HeaderIdempotent = "Idempotent"
	HeaderKey        = "Idempotency-Key"
)

const (
	maxTicketCount = 10000
	maxOutcomeWait = 5 * time.Minute
)

// Claims maps an idempotency key to its ticket: the given fresh one, or the one of an
// earlier submission with the same key.
type Claims interface {
	Claim(ctx context.Context, key, fresh string) (ticket string, err error)
}

// Handler is the callers' HTTP interface.
type Handler struct {
	service *Service
	claims  Claims
}

// NewHandler returns the callers' HTTP interface.
func NewHandler(s *Service, claims Claims) *Handler {
	return &Handler{
		service: s,
		claims:  claims,
	}
}

// Routes adds the callers' routes to a router.
func (h *Handler) Routes(r *mux.Router) {
	r.HandleFunc("/tickets", h.tickets).Methods(http.MethodPost)
	r.HandleFunc("/jobs", h.submit).Methods(http.MethodPost)
	r.HandleFunc("/jobs/{ticket}", h.getJob).Methods(http.MethodGet)
	r.HandleFunc("/jobs/{ticket}", h.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/jobs/{ticket}/explain", h.explain).Methods(http.MethodGet)
	r.HandleFunc("/requests/{service}", h.request).Methods(http.MethodPost)
}

type ticketsBody struct {
	Tickets []string `json:"tickets"`
}

func (h *Handler) tickets(w http.ResponseWriter, r *http.Request) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTicketCount {
			writeResponse(w, invalidResponse(http.StatusBadRequest, errors.NotValidf("count %q (1 to %d)", text, maxTicketCount)))
			return
		}
		count = n
	}
	tickets, err := h.service.Tickets(r.Context(), r.URL.Query().Get("service"), count)
	if err != nil {
		writeResponse(w, invalidResponse(http.StatusInternalServerError, err))
		return
	}
	writeResponse(w, jsonResponse(http.StatusOK, ticketsBody{Tickets: tickets}))
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	t, ok := h.submissionTicket(w, r, body)
	if !ok {
		return
	}
	h.setSpareTicket(w, r)
	writeResponse(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbSubmit,
		Ticket: t,
		Body:   body,
		Kind:   contentTypeJSON,
	}))
}

// submissionTicket returns the ticket of a submission, from its header or claimed by its
// idempotency key. If there is none, it writes the error response.
func (h *Handler) submissionTicket(w http.ResponseWriter, r *http.Request, body []byte) (string, bool) {
	t, key := r.Header.Get(HeaderTicket), r.Header.Get(HeaderKey)
	switch {
	case t != "" && key != "":
		writeResponse(w, invalidResponse(http.StatusBadRequest, errors.New("headers Ticket and Idempotency-Key exclude each other")))
		return "", false
	case t != "":
		return t, true
	case key == "":
		writeResponse(w, invalidResponse(http.StatusBadRequest, errors.New("header Ticket or Idempotency-Key is missing; POST /tickets gives tickets")))
		return "", false
	case len(key) > maxKeyBytes:
		writeResponse(w, invalidResponse(http.StatusBadRequest, errors.Errorf("header Idempotency-Key is over %d bytes", maxKeyBytes)))
		return "", false
	}
	// Validate before claiming, so that invalid input doesn't use up the key.
	sub, err := parseJob(body, h.service.limits)
	if err != nil {
		writeResponse(w, invalidResponse(http.StatusBadRequest, err))
		return "", false
	}
	return h.claimTicket(w, r, key, sub.Service)
}

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 200

// claimTicket returns the ticket of an idempotency key. If the table does not answer, the
// response can't state that the job did not run, because an earlier submission with this
// key may have run on any host.
func (h *Handler) claimTicket(w http.ResponseWriter, r *http.Request, key, service string) (string, bool) {
	fresh, err := h.service.Tickets(r.Context(), service, 1)
	if err != nil {
		writeResponse(w, invalidResponse(http.StatusInternalServerError, err))
		return "", false
	}
	t, err := h.claims.Claim(r.Context(), key, fresh[0])
	if err != nil {
		h.service.counters.Refused(core.ReasonStore)
		writeResponse(w, failedResponse(job.Failed(core.RanMaybe, core.ReasonStore)))
		return "", false
	}
	return t, true
}

// setSpareTicket adds a ticket for the caller's next job, which saves a round trip.
func (h *Handler) setSpareTicket(w http.ResponseWriter, r *http.Request) {
	if spare, err := h.service.Tickets(r.Context(), "", 1); err == nil {
		w.Header().Set("Spare-Ticket", spare[0])
	}
}

func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	atMostOnce, err := parseAtMostOnce(r.Header.Get(HeaderIdempotent))
	if err != nil {
		writeResponse(w, invalidResponse(http.StatusBadRequest, err))
		return
	}
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	t := r.Header.Get(HeaderTicket)
	if t == "" {
		tickets, err := h.service.Tickets(r.Context(), mux.Vars(r)["service"], 1)
		if err != nil {
			writeResponse(w, invalidResponse(http.StatusInternalServerError, err))
			return
		}
		t = tickets[0]
	}
	w.Header().Set(HeaderTicket, t)
	writeResponse(w, h.service.Do(r.Context(), wire.Call{
		Verb:    verbRequest,
		Ticket:  t,
		Service: mux.Vars(r)["service"],
		Kind:    r.Header.Get("Content-Type"),
		Once:    atMostOnce,
		Body:    body,
	}))
}

// parseAtMostOnce reads the Idempotent header. A request without it must run at most once,
// because the caller has not declared that running it twice is safe.
func parseAtMostOnce(header string) (bool, error) {
	if header == "" {
		return true, nil
	}
	idempotent, err := strconv.ParseBool(header)
	if err != nil {
		return false, errors.NotValidf("header Idempotent %q (true or false)", header)
	}
	return !idempotent, nil
}

func (h *Handler) getJob(w http.ResponseWriter, r *http.Request) {
	timeout := 0
	if text := r.URL.Query().Get("timeout"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > int(maxOutcomeWait/time.Millisecond) {
			writeResponse(w, invalidResponse(http.StatusBadRequest, errors.NotValidf("timeout %q (0 to %d ms)", text, maxOutcomeWait/time.Millisecond)))
			return
		}
		timeout = n
	}
	writeResponse(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbLook,
		Ticket: mux.Vars(r)["ticket"],
		Wait:   timeout,
	}))
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbCancel,
		Ticket: mux.Vars(r)["ticket"],
	}))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbExplain,
		Ticket: mux.Vars(r)["ticket"],
	}))
}

// readBody reads a request's body up to the limit. If that fails, it writes the error
// response.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := int64(h.service.limits.MaxBodyBytes)
	raw, err := server.ReadBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeResponse(w, invalidResponse(http.StatusRequestEntityTooLarge, errors.Errorf("body is over %d bytes", limit)))
		return nil, false
	case errors.Is(err, server.ErrMemory):
		// An earlier submission under this ticket or key may have run.
		h.service.counters.Refused(core.ReasonMemory)
		writeResponse(w, failedResponse(job.Failed(core.RanMaybe, core.ReasonMemory)))
		return nil, false
	case err != nil:
		writeResponse(w, invalidResponse(http.StatusBadRequest, errors.Annotate(err, "read body")))
		return nil, false
	}
	return raw, true
}

// writeResponse sends a response with its exact length, so that a caller can detect a
// truncated one.
func writeResponse(w http.ResponseWriter, r Response) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
