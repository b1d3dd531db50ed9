package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int    `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[[2]string]row
	ver     int
	changed chan struct{}
	began   time.Time
	hushed  time.Time // connections opened before this get no answers any more
}

type connTime struct{}

// serve serves the store's calls at a listener.
func (s *store) serve(l net.Listener) {
	server := &http.Server{
		Handler: s,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connTime{}, time.Now())
		},
	}
	_ = server.Serve(l)
}

// isHushed reports whether the connection of a request has gone silent.
func (s *store) isHushed(r *http.Request) bool {
	opened, ok := r.Context().Value(connTime{}).(time.Time)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && opened.Before(s.hushed)
}

// hush makes all open connections silent for good; new ones work.
func (s *store) hush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hushed = time.Now()
}

func newStore() *store {
	return &store{
		rows:    map[[2]string]row{},
		changed: make(chan struct{}),
		began:   time.Now(),
	}
}

// put writes a row as the operator or an executor does.
func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{
		Table: table,
		Key:   key,
		Value: base64.StdEncoding.EncodeToString(raw),
	})
}

func (s *store) write(r row) {
	s.ver++
	r.Ver = s.ver
	s.rows[[2]string{r.Table, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the rows of a table that changed after a version, or all that exist.
func (s *store) after(table string, ver int, all bool, from string) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table != table || (all && (r.Deleted || r.Key < from)) || (!all && r.Ver <= ver) {
			continue
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b row) int {
		if all {
			return strings.Compare(a.Key, b.Key)
		}
		return a.Ver - b.Ver
	})
	return rows
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	writeJSON(w, status, map[string]any{
		"rows":     rows,
		"has_more": false,
		"ver":      s.ver,
		"now_ms":   time.Since(s.began).Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves the calls that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isHushed(r) {
		silence(r)
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		s.mu.Lock()
		defer s.mu.Unlock()
		rows := s.after(q.Get("table"), 0, true, q.Get("from"))
		if limit > 0 && len(rows) > limit {
			rows = rows[:limit]
		}
		s.reply(w, http.StatusOK, rows)
	case "/-/rows-feed":
		after, _ := strconv.Atoi(q.Get("after"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/-/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int, wait time.Duration) {
	end := time.After(wait)
	for over := false; ; {
		s.mu.Lock()
		changed := s.changed
		rows := s.after(table, after, false, "")
		opened, ok := r.Context().Value(connTime{}).(time.Time)
		if ok && opened.Before(s.hushed) {
			s.mu.Unlock()
			silence(r)
			return
		}
		if len(rows) > 0 || over {
			defer s.mu.Unlock()
			s.reply(w, http.StatusOK, rows)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		current := s.rows[[2]string{e.Table, e.Key}]
		if current.Deleted {
			current.Ver = 0
		}
		if current.Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, []row{current})
			return
		}
	}
	for _, p := range tx.Puts {
		s.write(row{
			Table: p.Table,
			Key:   p.Key,
			Value: p.Value,
		})
	}
	for _, d := range tx.Remove {
		s.write(row{
			Table:   d.Table,
			Key:     d.Key,
			Deleted: true,
		})
	}
	s.reply(w, http.StatusOK, []row{})
}
