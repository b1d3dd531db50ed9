package bed

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"rosemarywalk/platform/standin"
	"rosemarywalk/platform/wire"
)

// Start is a start of a task that a backend server has carried out.
type Start struct {
	At     time.Time
	Server string
	Task   string
	Run    int
	Spec   string
	Host   string // IP address of the host that ordered it
}

// Starts collects the starts at all backend servers.
type Starts struct {
	record *Record

	mu   sync.Mutex
	all  []Start
	seen map[Start]bool // without the time
}

// All returns the starts so far, in the order of their times.
func (s *Starts) All() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.all...)
}

func (s *Starts) add(start Start) {
	key := start
	key.At = time.Time{}
	s.mu.Lock()
	known := s.seen[key]
	if !known {
		s.seen[key] = true
		s.all = append(s.all, start)
	}
	s.mu.Unlock()
	if !known {
		s.record.Add("%s starts task %s, run %d, ordered by %s", start.Server, start.Task, start.Run, start.Host)
	}
}

// recordStarts passes orders on to a backend server and records the starts that it accepts.
func (s *Starts) recordStarts(server string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/run-start" {
			next.ServeHTTP(w, r)
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		var order wire.RunStart
		_ = json.Unmarshal(raw, &order)
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		status := &statusWriter{ResponseWriter: w}
		next.ServeHTTP(status, r)
		if status.code == http.StatusOK {
			s.add(Start{
				At:     time.Now(),
				Server: server,
				Task:   order.Task,
				Run:    order.Run,
				Spec:   order.TaskSpec,
				Host:   host,
			})
		}
	})
}

// statusWriter remembers the status of a response.
type statusWriter struct {
	http.ResponseWriter

	code int
}

// WriteHeader remembers the status and writes it.
func (w *statusWriter) WriteHeader(code int) {
	w.code = code
	w.ResponseWriter.WriteHeader(code)
}

// Server is a backend server that follows the pages.
type Server struct {
	*standin.Server

	ID      string
	Service string
	Zone    string
	Address string
	born    time.Time
}

func (s *Server) entry(state string) wire.ServerEntry {
	return wire.ServerEntry{
		Address: s.Address,
		Born:    int(s.born.UnixMilli()),
		Capacity: wire.Room{
			Cpu:   32000,
			MemMb: 65536,
		},
		ConfigVersion: "1",
		Labels:        []string{"a"},
		Service:       s.Service,
		Slots:         slots,
		State:         state,
		Zone:          s.Zone,
	}
}

const slots = 8
