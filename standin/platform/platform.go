package platform

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"rosemarywalk/io/platform"
)

// Faults are the failures that the platform simulates.
type Faults struct {
	Down        bool    `json:"down"`  // answers 503 to reads of the host list and to table, commit and object calls
	Delay       int     `json:"delay"` // milliseconds added to each of these calls
	LostAnswers float64 `json:"lose"`  // share of writes that are applied but get no answer
	Lag         int     `json:"lag"`   // milliseconds until a change of the host list becomes visible
}

// Counts are the numbers of reads and writes that the platform received.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// listVersion is a version of the host list and the time when it was made.
type listVersion struct {
	createdAt time.Time
	listing   platform.Listing
}

// Platform holds the state of the stand-in.
type Platform struct {
	mu           sync.Mutex
	rng          *rand.Rand
	rows         map[string]platform.Row
	objects      map[string][]byte
	revision     int
	changed      chan struct{} // closed and replaced at each commit, to wake waiting readers
	hosts        map[string]platform.ListedHost
	evacuated    map[string]bool // by failure domain
	listVersions []listVersion   // oldest first
	faults       Faults
	counts       Counts
}

// New returns an empty platform. The seed determines which answers are lost.
func New(seed uint64) *Platform {
	return &Platform{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		changed: make(chan struct{}),
		hosts:   map[string]platform.ListedHost{},

		evacuated: map[string]bool{},
	}
}

// Router returns the handler of the platform's HTTP interface.
func (p *Platform) Router() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/faults", p.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", p.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/hosts/{id}", p.putHost).Methods(http.MethodPut)
	r.HandleFunc("/hosts/{id}", p.deleteHost).Methods(http.MethodDelete)
	r.Handle("/hosts", p.withFaults(p.getHosts)).Methods(http.MethodGet)
	r.Handle("/evacuations/{domain}", p.withFaults(p.evacuate)).Methods(http.MethodPut, http.MethodDelete)
	r.Handle("/table", p.withFaults(p.getChanges)).Methods(http.MethodGet)
	r.Handle("/table/{key}", p.withFaults(p.getRow)).Methods(http.MethodGet)
	r.Handle("/commits", p.withFaults(p.commit)).Methods(http.MethodPost)
	r.Handle("/objects/{key}", p.withFaults(p.getObject)).Methods(http.MethodGet)
	r.Handle("/objects/{key}", p.withFaults(p.putObject)).Methods(http.MethodPut)
	return r
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetHost adds a host to the list or replaces it.
func (p *Platform) SetHost(h platform.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[h.ID] = h
	p.addListVersion()
}

// addListVersion appends a new version of the host list. The caller holds p.mu.
func (p *Platform) addListVersion() {
	revision := 1
	if n := len(p.listVersions); n > 0 {
		revision = p.listVersions[n-1].listing.Revision + 1
	}
	listing := platform.Listing{
		Revision:  revision,
		Evacuated: slices.Sorted(maps.Keys(p.evacuated)),
	}
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		listing.Hosts = append(listing.Hosts, p.hosts[id])
	}
	p.listVersions = append(p.listVersions, listVersion{
		createdAt: time.Now(),
		listing:   listing,
	})
	const maxListVersions = 200
	if len(p.listVersions) > maxListVersions {
		p.listVersions = p.listVersions[1:]
	}
}

// withFaults wraps a handler so that it counts the call and applies the faults.
func (p *Platform) withFaults(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		loseAnswer := r.Method != http.MethodGet && p.rng.Float64() < faults.LostAnswers
		if r.Method == http.MethodGet {
			p.counts.Reads++
		} else {
			p.counts.Writes++
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(faults.Delay) * time.Millisecond)
		if faults.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !loseAnswer {
			next(w, r)
			return
		}
		next(discardWriter{header: http.Header{}}, r)
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	})
}

// discardWriter is a ResponseWriter that drops the answer of a write whose
// answer is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (discardWriter) Write(raw []byte) (int, error) { return len(raw), nil }
func (discardWriter) WriteHeader(int)               {}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeBody(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

// Counts returns the numbers of reads and writes so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var h platform.ListedHost
	if !decodeBody(w, r, &h) {
		return
	}
	h.ID = mux.Vars(r)["id"]
	p.SetHost(h)
	w.WriteHeader(http.StatusNoContent)
}

// evacuate adds a failure domain to the evacuated ones, or removes it.
func (p *Platform) evacuate(w http.ResponseWriter, r *http.Request) {
	domain, err := url.PathUnescape(mux.Vars(r)["domain"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodPut {
		p.evacuated[domain] = true
	} else {
		delete(p.evacuated, domain)
	}
	p.addListVersion()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, mux.Vars(r)["id"])
	p.addListVersion()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getHosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	newestVisible := time.Now().Add(-time.Duration(p.faults.Lag) * time.Millisecond)
	for _, version := range slices.Backward(p.listVersions) {
		if version.createdAt.After(newestVisible) {
			continue
		}
		if version.listing.Revision > since {
			writeJSON(w, version.listing)
			return
		}
		break
	}
	w.WriteHeader(http.StatusNotModified)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[storageKey(r)]
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func storageKey(r *http.Request) string {
	return strings.ReplaceAll(mux.Vars(r)["key"], "%2F", "/")
}

func (p *Platform) getChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.Atoi(query.Get("since"))
	timeout, _ := strconv.Atoi(query.Get("timeout"))
	deadline := time.After(time.Duration(timeout) * time.Millisecond)
	limit, _ := strconv.Atoi(query.Get("limit"))
	for {
		feed, changed := p.changesSince(query.Get("prefix"), since, limit)
		if len(feed.Rows) > 0 {
			writeJSON(w, feed)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, feed)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) changesSince(prefix string, since, limit int) (platform.Feed, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	feed := platform.Feed{
		Revision: p.revision,
		Rows:     []platform.Row{},
	}
	for k, row := range p.rows {
		if strings.HasPrefix(k, prefix) && row.Revision > since {
			feed.Rows = append(feed.Rows, row)
		}
	}
	slices.SortFunc(feed.Rows, func(a, b platform.Row) int { return a.Revision - b.Revision })
	if limit > 0 && len(feed.Rows) > limit {
		feed.Rows = feed.Rows[:limit]
	}
	return feed, p.changed
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var writes []platform.Write
	if !decodeBody(w, r, &writes) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	results := make([]platform.Result, 0, len(writes))
	for _, change := range writes {
		results = append(results, p.apply(change))
	}
	close(p.changed)
	p.changed = make(chan struct{})
	writeJSON(w, results)
}

// apply applies a write if the row's version is still the one that the write
// expects. The caller holds p.mu.
func (p *Platform) apply(write platform.Write) platform.Result {
	row := p.rows[write.Key]
	if row.Version != write.Version {
		return platform.Result{Row: row}
	}
	p.revision++
	if write.Delete {
		delete(p.rows, write.Key)
		return platform.Result{Applied: true}
	}
	row = platform.Row{
		Key:      write.Key,
		Version:  write.Version + 1,
		Revision: p.revision,
		Value:    write.Value,
	}
	p.rows[write.Key] = row
	return platform.Result{
		Applied: true,
		Row:     row,
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, ok := p.objects[storageKey(r)]
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(raw)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[storageKey(r)] = raw
	w.WriteHeader(http.StatusNoContent)
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
