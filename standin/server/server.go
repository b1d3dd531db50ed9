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
	ModeOK        = "ok"      // runs every task
	ModeFail      = "fail"    // answers 500 at once
	ModeHang      = "hang"    // starts the task and never answers
	ModeRefuse    = "refuse"  // answers 429 at once without starting the task
	ModeReset     = "reset"   // starts the task, then closes the connection
	ModeTruncated = "cut"     // closes the connection halfway through the answer
	ModeWrongTask = "crossed" // answers with the name of another task
	ModeNoLength  = "bare"    // closes the connection halfway through an answer without Content-Length
)

const headerTask = "Task"

// Behavior determines how a server runs tasks.
type Behavior struct {
	Mode string  `json:"mode"`
	Slow float64 `json:"slow"` // factor for all run times; 0 counts as 1
}

// Config is the part of a server's configuration that doesn't change.
type Config struct {
	ID          string
	Slots       int
	Connections int
}

// Task is the body of a task, which tells the stand-in what to do.
type Task struct {
	Run  int `json:"run"`  // run time, in milliseconds
	Size int `json:"size"` // bytes of padding in the answer
}

// Answer is the stand-in's answer to a task.
type Answer struct {
	Task   string          `json:"task"`
	Server string          `json:"server"`
	Body   json.RawMessage `json:"body"` // the task's body
	Pad    string          `json:"pad,omitempty"`
}

// Starts is the server's own record of started tasks and connections, independent
// of what the hosts recorded.
type Starts struct {
	ByTask         map[string]int `json:"starts"` // number of starts by task name
	Total          int            `json:"total"`
	RepeatedStarts int            `json:"twice"`       // tasks that started more than once
	MaxOpenConns   int            `json:"connections"` // largest number open at the same time
	LastStart      time.Time      `json:"last"`        // time of the latest start
}

// Server is one backend server.
type Server struct {
	config Config
	slots  chan struct{}

	mu           sync.Mutex
	behavior     Behavior
	startsByTask map[string]int
	totalStarts  int
	openConns    int
	maxOpenConns int
	lastStart    time.Time
}

// New returns a server in mode ModeOK.
func New(config Config) *Server {
	return &Server{
		config:       config,
		slots:        make(chan struct{}, config.Slots),
		behavior:     Behavior{Mode: ModeOK},
		startsByTask: map[string]int{},
	}
}

// HTTP returns an HTTP server for the stand-in that counts connections.
func (s *Server) HTTP() *http.Server {
	r := mux.NewRouter()
	r.HandleFunc("/tasks/{service}", s.handleTask).Methods(http.MethodPost)
	r.HandleFunc("/starts", s.getStarts).Methods(http.MethodGet)
	r.HandleFunc("/behavior", s.putBehavior).Methods(http.MethodPut)
	return &http.Server{
		Handler:           r,
		ConnState:         s.trackConnection,
		ReadHeaderTimeout: time.Minute,
	}
}

func (s *Server) trackConnection(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.openConns++
		s.maxOpenConns = max(s.maxOpenConns, s.openConns)
	case http.StateClosed, http.StateHijacked:
		s.openConns--
	case http.StateActive, http.StateIdle:
	}
}

// SetBehavior sets the behavior for tasks that arrive from now on.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Starts returns a copy of the server's record.
func (s *Server) Starts() Starts {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := Starts{
		ByTask:       make(map[string]int, len(s.startsByTask)),
		Total:        s.totalStarts,
		MaxOpenConns: s.maxOpenConns,
		LastStart:    s.lastStart,
	}
	for name, n := range s.startsByTask {
		starts.ByTask[name] = n
		if n > 1 {
			starts.RepeatedStarts++
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

// recordStart counts a task as started when its request arrives, before it has a
// slot, and returns the behavior for it. In mode ModeRefuse it counts nothing.
func (s *Server) recordStart(name string) Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behavior.Mode != ModeRefuse {
		s.startsByTask[name]++
		s.totalStarts++
		s.lastStart = time.Now()
	}
	return s.behavior
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(headerTask)
	behavior := s.recordStart(name)
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
	if s.execute(r, behavior, body) {
		s.writeAnswer(w, behavior.Mode, name, body)
	}
}

// execute waits for a slot and then for the task's run time. It returns false if
// the request was cancelled.
func (s *Server) execute(r *http.Request, b Behavior, body []byte) bool {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-s.slots }()
	var task Task
	_ = json.Unmarshal(body, &task)
	runTime := time.Duration(task.Run) * time.Millisecond
	if b.Slow > 0 {
		runTime = time.Duration(float64(runTime) * b.Slow)
	}
	select {
	case <-time.After(runTime):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, mode, name string, body []byte) {
	var task Task
	_ = json.Unmarshal(body, &task)
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	raw, err := json.Marshal(Answer{
		Task:   name,
		Server: s.config.ID,
		Body:   body,
		Pad:    padding(task.Size),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	switch mode {
	case ModeNoLength:
		writeUnframed(w, raw)
		return
	case ModeWrongTask:
		name = "another"
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set(headerTask, name)
	if mode == ModeTruncated {
		_, _ = w.Write(raw[:len(raw)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

func padding(size int) string {
	raw := make([]byte, size)
	for i := range raw {
		raw[i] = 'x'
	}
	return string(raw)
}

// writeUnframed sends half of an answer in HTTP/1.0 without Content-Length, where
// only the closed connection marks the end of the body.
func writeUnframed(w http.ResponseWriter, raw []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n")
	_, _ = conn.Write(raw[:len(raw)/2])
}

// Listen listens on an address and serves s there until the listener is closed.
func Listen(s *Server, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for backend server")
	}
	go func() { _ = s.HTTP().Serve(listener) }()
	return listener, nil
}
