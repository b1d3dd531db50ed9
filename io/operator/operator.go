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
	maxDocumentBytes = 4 << 20
	askTimeout       = 3 * time.Second
	askStatus        = "status"
)

// Fleet provides the live hosts and the home of each service.
type Fleet interface {
	Live() []member.Host
	Home(service string) (address string, own bool)
}

// Peers sends requests to other hosts.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
}

// Status is the status that a host reports about itself.
type Status struct {
	Host            string             `json:"host"` // incarnation
	Address         string             `json:"address"`
	Domain          string             `json:"domain"`
	Error           string             `json:"error,omitempty"` // why no status was received
	ListingRevision int                `json:"listing"`         // revision of the host list
	ConfigRevision  int                `json:"revision"`        // revision of the configuration rows
	Waiting         int                `json:"waiting"`
	Outstanding     int                `json:"outstanding"`
	Running         int                `json:"running"`
	Servers         int                `json:"servers"`
	UsableServers   int                `json:"usable"`
	Successors      int                `json:"successors"`          // stopped incarnations that this host answers for
	HomeServices    []string           `json:"homes"`               // services whose queue this host holds
	Evacuated       []string           `json:"evacuated,omitempty"` // failure domains, by the host's list
	InForce         []document.InForce `json:"inforce"`
}

// Handler serves the operators' HTTP API.
type Handler struct {
	self       member.Host
	registry   *prometheus.Registry
	flag       *ready.Flag
	fleet      Fleet
	peers      Peers
	dispatcher *dispatch.Dispatcher
	directory  *platform.Directory
	client     *platform.Client
	store      *config.Store
	booker     *config.Booker
}

// Routes registers the operators' routes on r.
func (h *Handler) Routes(r *mux.Router) {
	r.Handle("/metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/livez", h.flag.Livez).Methods(http.MethodGet)
	r.HandleFunc("/readyz", h.flag.Readyz).Methods(http.MethodGet)
	r.HandleFunc("/hosts", h.hosts).Methods(http.MethodGet)
	r.HandleFunc("/evacuations/{domain:.+}", h.evacuate).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/config", h.showConfig).Methods(http.MethodGet)
	r.HandleFunc("/config", h.submitConfig).Methods(http.MethodPost)
	r.HandleFunc("/config/history", h.history).Methods(http.MethodGet)
}

func (h *Handler) status() Status {
	load := h.dispatcher.Load()
	return Status{
		Host:            h.self.Incarnation,
		Address:         h.self.Address,
		Domain:          h.self.Domain,
		ListingRevision: h.directory.Revision(),
		ConfigRevision:  h.store.Revision(),
		Waiting:         load.Waiting,
		Outstanding:     load.Outstanding,
		Running:         load.Running,
		Servers:         load.Servers,
		UsableServers:   load.Usable,
		Successors:      load.Adopted,
		HomeServices:    h.homes(),
		Evacuated:       h.directory.Listing().Evacuated,
		InForce:         h.store.InForce(),
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

// ServeAsk returns this host's status to another host.
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

// hosts queries all live hosts in parallel and reports a host that does not answer
// within askTimeout with its error instead of leaving it out.
func (h *Handler) hosts(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	live := h.fleet.Live()
	statuses := make([]Status, len(live))
	var wg sync.WaitGroup
	for i, host := range live {
		wg.Go(func() { statuses[i] = h.queryHost(ctx, host) })
	}
	wg.Wait()
	writeJSON(w, http.StatusOK, statuses)
}

func (h *Handler) queryHost(ctx context.Context, host member.Host) Status {
	if host.Address == h.self.Address {
		return h.status()
	}
	status := Status{
		Host:    host.Incarnation,
		Address: host.Address,
		Domain:  host.Domain,
	}
	answer, err := h.peers.Call(ctx, host.Address, wire.Frame{Ask: &wire.Ask{What: askStatus}})
	if err == nil && answer.Reply != nil {
		err = json.Unmarshal(answer.Reply.Body, &status)
	}
	if err != nil {
		status.Error = err.Error()
	}
	return status
}

// evacuate passes an operator's request about a failure domain on to the platform, whose list of
// hosts carries it to all hosts.
func (h *Handler) evacuate(w http.ResponseWriter, r *http.Request) {
	if err := h.client.Evacuate(r.Context(), mux.Vars(r)["domain"], r.Method == http.MethodDelete); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) showConfig(w http.ResponseWriter, r *http.Request) {
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

// configResponse is the response to POST /config.
type configResponse struct {
	Booked   []config.Booked    `json:"booked"`
	Findings finding.List       `json:"findings,omitempty"`
	Conflict *document.Conflict `json:"conflict,omitempty"`
	Error    string             `json:"error,omitempty"`
}

func (h *Handler) submitConfig(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, configResponse{Error: err.Error()})
		return
	}
	query := r.URL.Query()
	booked, err := h.booker.Book(r.Context(), config.BookRequest{
		File:   query.Get("file"),
		Text:   raw,
		Team:   query.Get("team"),
		Author: query.Get("author"),
	})
	status, body := newConfigResponse(booked, err)
	writeJSON(w, status, body)
}

func newConfigResponse(booked []config.Booked, err error) (int, configResponse) {
	body := configResponse{Booked: booked}
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
