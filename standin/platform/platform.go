package platform

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"rosemarywalk/io/platform"
)

// Faults is what goes wrong at the platform.
type Faults struct {
	Down  bool    `json:"down"`  // every call but the faults' own is refused
	Delay int     `json:"delay"` // milliseconds added to every answer
	Lose  float64 `json:"lose"`  // share of writes that take effect and get no answer
	Lag   int     `json:"lag"`   // milliseconds that the host list is behind
}

// Counts is how often the platform was used.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// snapshot is the host list since a moment.
type snapshot struct {
	at      time.Time
	listing platform.Listing
}

// Platform is the stand-in's whole state.
type Platform struct {
	mu       sync.Mutex
	rng      *rand.Rand
	rows     map[string]platform.Row
	objects  map[string][]byte
	revision int
	changed  chan struct{} // closed at the next write
	hosts    map[string]platform.ListedHost
	lists    []snapshot // oldest first
	faults   Faults
	counts   Counts
}

// New returns an empty platform; the seed decides which answers get lost.
func New(seed uint64) *Platform {
	return &Platform{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		changed: make(chan struct{}),
		hosts:   map[string]platform.ListedHost{},
	}
}

// Router returns the platform's HTTP interface.
func (p *Platform) Router() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/faults", p.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", p.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/hosts/{id}", p.putHost).Methods(http.MethodPut)
	r.HandleFunc("/hosts/{id}", p.deleteHost).Methods(http.MethodDelete)
	r.Handle("/hosts", p.faulty(p.getHosts)).Methods(http.MethodGet)
	r.Handle("/table", p.faulty(p.getChanges)).Methods(http.MethodGet)
	r.Handle("/table/{key}", p.faulty(p.getRow)).Methods(http.MethodGet)
	r.Handle("/commits", p.faulty(p.commit)).Methods(http.MethodPost)
	r.Handle("/objects/{key}", p.faulty(p.getObject)).Methods(http.MethodGet)
	r.Handle("/objects/{key}", p.faulty(p.putObject)).Methods(http.MethodPut)
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
	p.list()
}

// list runs under the lock and makes a new version of the host list.
func (p *Platform) list() {
	revision := 1
	if n := len(p.lists); n > 0 {
		revision = p.lists[n-1].listing.Revision + 1
	}
	listing := platform.Listing{Revision: revision}
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		listing.Hosts = append(listing.Hosts, p.hosts[id])
	}
	p.lists = append(p.lists, snapshot{
		at:      time.Now(),
		listing: listing,
	})
	const kept = 200
	if len(p.lists) > kept {
		p.lists = p.lists[1:]
	}
}

// faulty applies the faults around a handler.
func (p *Platform) faulty(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		lose := r.Method != http.MethodGet && p.rng.Float64() < faults.Lose
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
		if !lose {
			next(w, r)
			return
		}
		next(discard{header: http.Header{}}, r)
		// Aborting closes the connection without an answer.
		panic(http.ErrAbortHandler)
	})
}

// discard swallows the answer of a write whose answer gets lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (discard) Write(raw []byte) (int, error) { return len(raw), nil }
func (discard) WriteHeader(int)               {}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !read(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	write(w, p.Counts())
}

// Counts returns how often the platform was used so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var h platform.ListedHost
	if !read(w, r, &h) {
		return
	}
	h.ID = mux.Vars(r)["id"]
	p.SetHost(h)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, mux.Vars(r)["id"])
	p.list()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getHosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	visible := time.Now().Add(-time.Duration(p.faults.Lag) * time.Millisecond)
	for _, s := range slices.Backward(p.lists) {
		if s.at.After(visible) {
			continue
		}
		if s.listing.Revision > since {
			write(w, s.listing)
			return
		}
		break
	}
	w.WriteHeader(http.StatusNotModified)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key(r)]
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	write(w, row)
}

func key(r *http.Request) string {
	return strings.ReplaceAll(mux.Vars(r)["key"], "%2F", "/")
}

func (p *Platform) getChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.Atoi(query.Get("since"))
	timeout, _ := strconv.Atoi(query.Get("timeout"))
	deadline := time.After(time.Duration(timeout) * time.Millisecond)
	limit, _ := strconv.Atoi(query.Get("limit"))
	for {
		feed, changed := p.changes(query.Get("prefix"), since, limit)
		if len(feed.Rows) > 0 {
			write(w, feed)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			write(w, feed)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) changes(prefix string, since, limit int) (platform.Feed, chan struct{}) {
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
	if !read(w, r, &writes) {
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
	write(w, results)
}

// apply runs under the lock.
func (p *Platform) apply(change platform.Write) platform.Result {
	row := p.rows[change.Key]
	if row.Version != change.Version {
		return platform.Result{Row: row}
	}
	p.revision++
	if change.Delete {
		delete(p.rows, change.Key)
		return platform.Result{Applied: true}
	}
	row = platform.Row{
		Key:      change.Key,
		Version:  change.Version + 1,
		Revision: p.revision,
		Value:    change.Value,
	}
	p.rows[change.Key] = row
	return platform.Result{
		Applied: true,
		Row:     row,
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, ok := p.objects[key(r)]
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
	p.objects[key(r)] = raw
	w.WriteHeader(http.StatusNoContent)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
