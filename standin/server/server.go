package server

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
)

// The failure modes of a backend server.
const (
	ModeOK      = "ok"      // runs every task
	ModeFail    = "fail"    // answers 500 at once
	ModeHang    = "hang"    // starts and never answers
	ModeRefuse  = "refuse"  // answers 429 at once, starting nothing
	ModeReset   = "reset"   // starts, then closes the connection
	ModeCut     = "cut"     // closes the connection halfway through the answer
	ModeCrossed = "crossed" // answers with another task's name
	ModeBare    = "bare"    // closes halfway through an answer without a length
)

const headerTask = "Task"

// Behavior is how a server runs tasks.
type Behavior struct {
	Mode string  `json:"mode"`
	Slow float64 `json:"slow"` // factor on every run time; 0 is 1
}

// Config is the fixed part of a server.
type Config struct {
	ID          string
	Slots       int
	Connections int
}

// Task is what a task's body asks the stand-in to do.
type Task struct {
	Run  int `json:"run"`  // run time, in milliseconds
	Size int `json:"size"` // bytes of padding in the answer
}

// Answer is what the stand-in answers to a task.
type Answer struct {
	Task   string          `json:"task"`
	Server string          `json:"server"`
	Body   json.RawMessage `json:"body"` // the task's own body
	Pad    string          `json:"pad,omitempty"`
}

// Starts is what the server saw, from outside of any host's own records.
type Starts struct {
	Starts      map[string]int `json:"starts"` // by task name
	Total       int            `json:"total"`
	Twice       int            `json:"twice"`       // tasks that started more than once
	Connections int            `json:"connections"` // most open at once
	Last        time.Time      `json:"last"`        // of the newest start
}

// Server is one backend server.
type Server struct {
	config Config
	slots  chan struct{}

	mu       sync.Mutex
	behavior Behavior
	starts   map[string]int
	total    int
	open     int
	most     int
	last     time.Time
}

// New returns a server that runs every task.
func New(config Config) *Server {
	return &Server{
		config:   config,
		slots:    make(chan struct{}, config.Slots),
		behavior: Behavior{Mode: ModeOK},
		starts:   map[string]int{},
	}
}

// HTTP returns the server's listener, which counts connections.
func (s *Server) HTTP() *http.Server {
	r := mux.NewRouter()
	r.HandleFunc("/tasks/{service}", s.run).Methods(http.MethodPost)
	r.HandleFunc("/starts", s.getStarts).Methods(http.MethodGet)
	r.HandleFunc("/behavior", s.putBehavior).Methods(http.MethodPut)
	return &http.Server{
		Handler:           r,
		ConnState:         s.count,
		ReadHeaderTimeout: time.Minute,
	}
}

func (s *Server) count(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.most = max(s.most, s.open)
	case http.StateClosed, http.StateHijacked:
		s.open--
	case http.StateActive, http.StateIdle:
	}
}

// SetBehavior changes how tasks run from now on.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Starts returns what the server saw.
func (s *Server) Starts() Starts {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := Starts{
		Starts:      make(map[string]int, len(s.starts)),
		Total:       s.total,
		Connections: s.most,
		Last:        s.last,
	}
	for name, n := range s.starts {
		starts.Starts[name] = n
		if n > 1 {
			starts.Twice++
		}
	}
	return starts
}

func (s *Server) getStarts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Starts())
}

func (s *Server) putBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
	w.WriteHeader(http.StatusNoContent)
}

// start counts a task as started as soon as its request arrived.
func (s *Server) start(name string) Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behavior.Mode != ModeRefuse {
		s.starts[name]++
		s.total++
		s.last = time.Now()
	}
	return s.behavior
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(headerTask)
	behavior := s.start(name)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch behavior.Mode {
	case ModeRefuse:
		http.Error(w, "no slot", http.StatusTooManyRequests)
		return
	case ModeFail:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case ModeReset:
		panic(http.ErrAbortHandler)
	case ModeHang:
		<-r.Context().Done()
		return
	}
	if s.work(r, behavior, body) {
		s.answer(w, behavior.Mode, name, body)
	}
}

// work waits for a slot and then for the run time; false when the caller left.
func (s *Server) work(r *http.Request, b Behavior, body []byte) bool {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-s.slots }()
	var task Task
	_ = json.Unmarshal(body, &task)
	took := time.Duration(task.Run) * time.Millisecond
	if b.Slow > 0 {
		took = time.Duration(float64(took) * b.Slow)
	}
	select {
	case <-time.After(took):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) answer(w http.ResponseWriter, mode, name string, body []byte) {
	var task Task
	_ = json.Unmarshal(body, &task)
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	raw, err := json.Marshal(Answer{
		Task:   name,
		Server: s.config.ID,
		Body:   body,
		Pad:    pad(task.Size),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	switch mode {
	case ModeBare:
		bare(w, raw)
		return
	case ModeCrossed:
		name = "another"
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set(headerTask, name)
	if mode == ModeCut {
		_, _ = w.Write(raw[:len(raw)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

func pad(size int) string {
	raw := make([]byte, size)
	for i := range raw {
		raw[i] = 'x'
	}
	return string(raw)
}

// bare answers in the manner of HTTP/1.0, where only the close ends a body.
func bare(w http.ResponseWriter, raw []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n")
	_, _ = conn.Write(raw[:len(raw)/2])
}

// Listen opens an address for a server and serves it until the listener closes.
func Listen(s *Server, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for backend server")
	}
	go func() { _ = s.HTTP().Serve(listener) }()
	return listener, nil
}
