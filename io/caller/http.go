package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/io/wire"
)

// The headers of the callers' protocol.
const (
	HeaderTicket     = "Ticket"
	HeaderIdempotent = "Idempotent"
	HeaderKey        = "Idempotency-Key"
)

const (
	ticketsMost = 10000
	lookLongest = 5 * time.Minute
)

// Claims turns an idempotency key into the ticket that stands for it: the
// fresh one, or the one of an earlier submission.
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
	r.HandleFunc("/jobs/{ticket}", h.look).Methods(http.MethodGet)
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
		if err != nil || n < 1 || n > ticketsMost {
			write(w, invalid(http.StatusBadRequest, errors.NotValidf("count %q (1 to %d)", text, ticketsMost)))
			return
		}
		count = n
	}
	tickets, err := h.service.Tickets(r.Context(), r.URL.Query().Get("service"), count)
	if err != nil {
		write(w, invalid(http.StatusInternalServerError, err))
		return
	}
	write(w, respond(http.StatusOK, ticketsBody{Tickets: tickets}))
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := h.body(w, r)
	if !ok {
		return
	}
	t, ok := h.ticket(w, r, body)
	if !ok {
		return
	}
	h.spare(w, r)
	write(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbSubmit,
		Ticket: t,
		Body:   body,
		Kind:   kindJSON,
	}))
}

// ticket returns the submission's ticket, given or claimed by its key.
func (h *Handler) ticket(w http.ResponseWriter, r *http.Request, body []byte) (string, bool) {
	t, key := r.Header.Get(HeaderTicket), r.Header.Get(HeaderKey)
	switch {
	case t != "" && key != "":
		write(w, invalid(http.StatusBadRequest, errors.New("headers Ticket and Idempotency-Key exclude each other")))
		return "", false
	case t != "":
		return t, true
	case key == "":
		write(w, invalid(http.StatusBadRequest, errors.New("header Ticket or Idempotency-Key is missing; POST /tickets gives tickets")))
		return "", false
	case len(key) > keyBytesMost:
		write(w, invalid(http.StatusBadRequest, errors.Errorf("header Idempotency-Key is over %d bytes", keyBytesMost)))
		return "", false
	}
	// Bad input must not use up a key.
	sub, err := parseJob(body, h.service.limits)
	if err != nil {
		write(w, invalid(http.StatusBadRequest, err))
		return "", false
	}
	return h.claim(w, r, key, sub.Service)
}

// keyBytesMost bounds an idempotency key.
const keyBytesMost = 200

// claim can't say "not run" when the table doesn't answer: an earlier
// submission with this key may have run at any host.
func (h *Handler) claim(w http.ResponseWriter, r *http.Request, key, service string) (string, bool) {
	fresh, err := h.service.Tickets(r.Context(), service, 1)
	if err != nil {
		write(w, invalid(http.StatusInternalServerError, err))
		return "", false
	}
	t, err := h.claims.Claim(r.Context(), key, fresh[0])
	if err != nil {
		h.service.counters.Refused(core.ReasonStore)
		write(w, failed(job.Failed(core.RanMaybe, core.ReasonStore)))
		return "", false
	}
	return t, true
}

// spare saves the caller a round trip for its next ticket.
func (h *Handler) spare(w http.ResponseWriter, r *http.Request) {
	if spare, err := h.service.Tickets(r.Context(), "", 1); err == nil {
		w.Header().Set("Spare-Ticket", spare[0])
	}
}

func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	once, err := isOnce(r.Header.Get(HeaderIdempotent))
	if err != nil {
		write(w, invalid(http.StatusBadRequest, err))
		return
	}
	body, ok := h.body(w, r)
	if !ok {
		return
	}
	t := r.Header.Get(HeaderTicket)
	if t == "" {
		own, err := h.service.Tickets(r.Context(), mux.Vars(r)["service"], 1)
		if err != nil {
			write(w, invalid(http.StatusInternalServerError, err))
			return
		}
		t = own[0]
	}
	w.Header().Set(HeaderTicket, t)
	write(w, h.service.Do(r.Context(), wire.Call{
		Verb:    verbRequest,
		Ticket:  t,
		Service: mux.Vars(r)["service"],
		Kind:    r.Header.Get("Content-Type"),
		Once:    once,
		Body:    body,
	}))
}

// isOnce reads the Idempotent header; a request without it must run at most
// once, because nobody said that running it twice does no harm.
func isOnce(header string) (bool, error) {
	if header == "" {
		return true, nil
	}
	idempotent, err := strconv.ParseBool(header)
	if err != nil {
		return false, errors.NotValidf("header Idempotent %q (true or false)", header)
	}
	return !idempotent, nil
}

func (h *Handler) look(w http.ResponseWriter, r *http.Request) {
	timeout := 0
	if text := r.URL.Query().Get("timeout"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > int(lookLongest/time.Millisecond) {
			write(w, invalid(http.StatusBadRequest, errors.NotValidf("timeout %q (0 to %d ms)", text, lookLongest/time.Millisecond)))
			return
		}
		timeout = n
	}
	write(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbLook,
		Ticket: mux.Vars(r)["ticket"],
		Wait:   timeout,
	}))
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	write(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbCancel,
		Ticket: mux.Vars(r)["ticket"],
	}))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	write(w, h.service.Do(r.Context(), wire.Call{
		Verb:   verbExplain,
		Ticket: mux.Vars(r)["ticket"],
	}))
}

// body reads a request's body up to the limit.
func (h *Handler) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := int64(h.service.limits.Body)
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		write(w, invalid(http.StatusRequestEntityTooLarge, errors.Errorf("body is over %d bytes", limit)))
		return nil, false
	case err != nil:
		write(w, invalid(http.StatusBadRequest, errors.Annotate(err, "read body")))
		return nil, false
	}
	return raw, true
}

// write sends a response with its exact length, so a caller sees a cut.
func write(w http.ResponseWriter, r Response) {
	if r.Kind != "" {
		w.Header().Set("Content-Type", r.Kind)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	if r.After > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((r.After+time.Second-1)/time.Second)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
