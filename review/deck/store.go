package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as it is spoken.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Ver     int    `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

func (r row) name() rowName {
	return rowName{
		table: r.Table,
		part:  r.Part,
		key:   r.Key,
	}
}

// store is the platform's metadata store: rows, transactions and feeds.
type store struct {
	server *http.Server

	mu      sync.Mutex
	start   time.Time
	rows    map[rowName]row
	version int
	changed chan struct{}
}

// transactionTime is how long a transaction takes (tx_ms).
const transactionTime = 4 * time.Millisecond

func startStore(l net.Listener) *store {
	s := &store{
		start:   time.Now(),
		rows:    map[rowName]row{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// put writes a row with an empty part, as the operator and the executors do.
func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{
		Table: table,
		Key:   key,
		Value: base64.StdEncoding.EncodeToString(raw),
	})
}

// drop removes a row with an empty part.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{
		Table:   table,
		Key:     key,
		Deleted: true,
	})
}

// write stores a row under the current version. The caller holds s.mu.
func (s *store) write(r row) {
	r.Ver = s.version
	s.rows[r.name()] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// rowsAnswer is the body of the responses about rows.
type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int   `json:"ver"`
	NowMs   int64 `json:"now_ms"`
}

// answer returns rows with what all answers hold. The caller holds s.mu.
func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{
		Rows:  rows,
		Ver:   s.version,
		NowMs: time.Since(s.start).Milliseconds(),
	}
}

const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	var rows []row
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Deleted &&
			row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	answer := s.answer(rows[:min(limit, len(rows))])
	s.mu.Unlock()
	answer.HasMore = more
	sendJSON(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		changed := s.changed
		var rows []row
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
		answer := s.answer(rows)
		s.mu.Unlock()
		if len(rows) > 0 || over {
			sendJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a rows-tx call.
type transaction struct {
	ExpectedRev []row `json:"expected_rev"`
	Puts        []row `json:"puts"`
	Remove      []row `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, entry := range slices.Concat(tx.Puts, tx.Remove) {
		if entry.Table == "op" || entry.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, expected := range tx.ExpectedRev {
		found := s.rows[expected.name()]
		version := found.Ver
		if found.Deleted {
			version = 0
		}
		holds = holds && version == expected.Ver
		if version > 0 {
			current = append(current, found)
		}
	}
	if !holds {
		sendJSON(w, http.StatusPreconditionFailed, s.answer(current))
		return
	}
	s.version++
	for _, put := range tx.Puts {
		s.write(put)
	}
	for _, drop := range tx.Remove {
		drop.Value, drop.Deleted = "", true
		s.write(drop)
	}
	sendJSON(w, http.StatusOK, s.answer(nil))
}

func sendJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
