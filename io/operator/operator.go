package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rosemarywalk/core/document"
	"rosemarywalk/core/finding"
	"rosemarywalk/core/member"
	"rosemarywalk/io/config"
	"rosemarywalk/io/dispatch"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/ready"
	"rosemarywalk/io/wire"
)

const (
	documentBytes = 4 << 20
	askTimeout    = 3 * time.Second
	whatStatus    = "status"
)

// Fleet knows the live hosts.
type Fleet interface {
	Live() []member.Host
	Home(service string) (address string, own bool)
}

// Peers asks other hosts.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
}

// Status is one host as it describes itself.
type Status struct {
	Host        string             `json:"host"` // incarnation
	Address     string             `json:"address"`
	Domain      string             `json:"domain"`
	Error       string             `json:"error,omitempty"` // why the host didn't answer
	Listing     int                `json:"listing"`         // revision of the host list
	Revision    int                `json:"revision"`        // of the document's rows
	Waiting     int                `json:"waiting"`
	Outstanding int                `json:"outstanding"`
	Running     int                `json:"running"`
	Servers     int                `json:"servers"`
	Usable      int                `json:"usable"`
	Successors  int                `json:"successors"` // stopped hosts that this one answers for
	Homes       []string           `json:"homes"`      // services that this host queues for
	InForce     []document.InForce `json:"inforce"`
}

// Handler is the operators' HTTP interface.
type Handler struct {
	self       member.Host
	registry   *prometheus.Registry
	flag       *ready.Flag
	fleet      Fleet
	peers      Peers
	dispatcher *dispatch.Dispatcher
	directory  *platform.Directory
	store      *config.Store
	booker     *config.Booker
}

// Routes adds the operators' routes to a router.
func (h *Handler) Routes(r *mux.Router) {
	r.Handle("/metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/livez", h.flag.Livez).Methods(http.MethodGet)
	r.HandleFunc("/readyz", h.flag.Readyz).Methods(http.MethodGet)
	r.HandleFunc("/hosts", h.hosts).Methods(http.MethodGet)
	r.HandleFunc("/config", h.show).Methods(http.MethodGet)
	r.HandleFunc("/config", h.book).Methods(http.MethodPost)
	r.HandleFunc("/config/history", h.history).Methods(http.MethodGet)
}

func (h *Handler) status() Status {
	load := h.dispatcher.Load()
	return Status{
		Host:        h.self.Incarnation,
		Address:     h.self.Address,
		Domain:      h.self.Domain,
		Listing:     h.directory.Revision(),
		Revision:    h.store.Revision(),
		Waiting:     load.Waiting,
		Outstanding: load.Outstanding,
		Running:     load.Running,
		Servers:     load.Servers,
		Usable:      load.Usable,
		Successors:  load.Adopted,
		Homes:       h.homes(),
		InForce:     h.store.InForce(),
	}
}

func (h *Handler) homes() []string {
	var homes []string
	for _, service := range h.dispatcher.Services() {
		if _, own := h.fleet.Home(service); own {
			homes = append(homes, service)
		}
	}
	return homes
}

// ServeAsk describes this host to another one.
func (h *Handler) ServeAsk(_ context.Context, _ wire.Frame) (wire.Frame, bool) {
	raw, err := json.Marshal(h.status())
	if err != nil {
		return wire.Frame{}, false
	}
	return wire.Frame{Reply: &wire.Reply{
		Status: http.StatusOK,
		Body:   raw,
	}}, true
}

// hosts asks every live host at once, so that a slow one delays but hides nothing.
func (h *Handler) hosts(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	live := h.fleet.Live()
	statuses := make([]Status, len(live))
	var wg sync.WaitGroup
	for i, host := range live {
		wg.Go(func() { statuses[i] = h.ask(ctx, host) })
	}
	wg.Wait()
	writeJSON(w, http.StatusOK, statuses)
}

func (h *Handler) ask(ctx context.Context, host member.Host) Status {
	if host.Address == h.self.Address {
		return h.status()
	}
	status := Status{
		Host:    host.Incarnation,
		Address: host.Address,
		Domain:  host.Domain,
	}
	answer, err := h.peers.Call(ctx, host.Address, wire.Frame{Ask: &wire.Ask{What: whatStatus}})
	if err == nil && answer.Reply != nil {
		err = json.Unmarshal(answer.Reply.Body, &status)
	}
	if err != nil {
		status.Error = err.Error()
	}
	return status
}

func (h *Handler) show(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, h.booker.Show(r.URL.Query().Get("team")))
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	team := r.URL.Query().Get("team")
	records := []document.Record{}
	for _, record := range h.store.Records() {
		if team == "" || record.Team == team {
			records = append(records, record)
		}
	}
	writeJSON(w, http.StatusOK, records)
}

// bookBody is the answer to a booking.
type bookBody struct {
	Booked   []config.Booked    `json:"booked"`
	Findings finding.List       `json:"findings,omitempty"`
	Conflict *document.Conflict `json:"conflict,omitempty"`
	Error    string             `json:"error,omitempty"`
}

func (h *Handler) book(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, documentBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, bookBody{Error: err.Error()})
		return
	}
	query := r.URL.Query()
	booked, err := h.booker.Book(r.Context(), config.BookRequest{
		File:   query.Get("file"),
		Text:   raw,
		Team:   query.Get("team"),
		Author: query.Get("author"),
	})
	status, body := bookAnswer(booked, err)
	writeJSON(w, status, body)
}

func bookAnswer(booked []config.Booked, err error) (int, bookBody) {
	body := bookBody{Booked: booked}
	var findings finding.List
	var conflict document.Conflict
	switch {
	case err == nil:
		return http.StatusOK, body
	case errors.As(err, &findings):
		body.Findings = findings
		return http.StatusUnprocessableEntity, body
	case errors.As(err, &conflict):
		body.Conflict = &conflict
		return http.StatusConflict, body
	}
	body.Error = err.Error()
	return http.StatusServiceUnavailable, body
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
