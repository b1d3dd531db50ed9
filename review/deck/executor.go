package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the small sites that the executors keep.
const (
	maxHold     = time.Second
	heartbeat   = 1500 * time.Millisecond
	expiryBeats = 3
	step        = 2 * time.Millisecond // of the clock that ends runs
)

// size is what an executor has and a task needs.
type size struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// start is a run that an executor has begun.
type start struct {
	executor string
	kind     string // label of that life
	task     string
	run      int
	spec     spec
	at       time.Time
	ended    time.Time // zero while it is at work
	how      string
}

// spec is what the clients of these cases put into a task_spec.
type spec struct {
	work     time.Duration
	requires string
	text     string
}

// newSpec returns the spec of tasks that work for a time and require a label.
func newSpec(work time.Duration, requires string) spec {
	return parseSpec(fmt.Sprintf("work=%s requires=%s", work, requires))
}

func parseSpec(text string) spec {
	s := spec{text: text}
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "work":
			s.work, _ = time.ParseDuration(value)
		case "requires":
			s.requires = value
		}
	}
	return s
}

// executor runs tasks under leases, as PROTOCOL.md describes. Each life of it has counts and a
// clock of its own.
type executor struct {
	id       string
	address  string
	zone     string
	service  string
	capacity size
	taskSize size // of all tasks of a case
	store    *store
	record   *record

	mu     sync.Mutex
	kind   string
	up     bool
	server *http.Server
	born   time.Time
	seq    int
	token  int64
	lease  time.Duration // its end, on this life's clock
	runs   []*start      // at work
	ended  []endedRow
	count  int
	past   map[string]int // by task, the highest run that was stopped or has ended
	starts []*start       // of all lives
	done   chan struct{}
}

type endedRow struct {
	number int
	row    []any
}

// begin starts a life of the executor, with a label for its kind, and registers it.
func (e *executor) begin(kind string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /-/run-start", e.serve(e.start))
	mux.HandleFunc("POST /-/run-stop", e.serve(e.stop))
	mux.HandleFunc("POST /-/hold", e.hold)
	e.mu.Lock()
	e.kind, e.up, e.born, e.seq = kind, true, time.Now(), 0
	e.token, e.lease, e.runs, e.ended, e.count = 0, 0, nil, nil, 0
	e.past, e.done = map[string]int{}, make(chan struct{})
	e.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Minute,
	}
	server, done := e.server, e.done
	e.mu.Unlock()
	e.record.add("executor %s begins at %s, kind %s", e.id, e.address, kind)
	go func() { _ = server.Serve(l) }()
	go e.live(done)
	e.register()
	return nil
}

// crash ends a life of the executor and all its connections. Its entry expires after three
// silent heartbeats.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	now := time.Now()
	for _, r := range slices.Clone(e.runs) {
		e.end(now, r, "crashed")
	}
	server, born := e.server, e.born
	close(e.done)
	e.mu.Unlock()
	_ = server.Close()
	e.record.add("executor %s crashes", e.id)
	time.AfterFunc(expiryBeats*heartbeat, func() {
		e.mu.Lock()
		expired := !e.up && e.born.Equal(born)
		e.mu.Unlock()
		if expired {
			e.store.drop("servers", e.id)
		}
	})
}

// live ends runs and leases in time, and repeats the entry.
func (e *executor) live(done chan struct{}) {
	ticker, beats := time.NewTicker(step), time.NewTicker(heartbeat)
	defer ticker.Stop()
	defer beats.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			e.mu.Lock()
			e.advance()
			e.mu.Unlock()
		case <-beats.C:
			e.register()
		}
	}
}

// register writes the executor's entry.
func (e *executor) register() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.seq++
	entry := map[string]any{
		"service":           e.service,
		"address":           e.address,
		"zone":              e.zone,
		"config_version":    "v1",
		"slots":             8,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"capacity":          e.capacity,
		"labels":            []string{e.kind, "r1-1"},
		"clock_ms":          e.clock().Milliseconds(),
		"seq_no":            e.seq,
		"born":              e.born.UnixMilli(),
	}
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

// clock returns the steady clock of this life. The caller holds e.mu.
func (e *executor) clock() time.Duration { return time.Since(e.born) }

// advance ends the runs that are done, or all once the lease is over. The caller holds e.mu.
func (e *executor) advance() {
	now := time.Now()
	lapsed := e.clock() >= e.lease
	for _, r := range slices.Clone(e.runs) {
		switch {
		case !now.Before(r.at.Add(r.spec.work)):
			e.end(now, r, "done")
		case lapsed:
			e.end(now, r, "lapsed")
		}
	}
}

// end ends a run. The caller holds e.mu.
func (e *executor) end(now time.Time, r *start, how string) {
	e.runs = slices.DeleteFunc(e.runs, func(o *start) bool { return o == r })
	r.ended, r.how = now, how
	e.past[r.task] = max(e.past[r.task], r.run)
	e.count++
	e.ended = append(e.ended, endedRow{
		number: e.count,
		row:    []any{e.count, r.task, r.run, how, ""},
	})
	e.record.addAt(now, "executor %s ended %s run %d, %s", e.id, r.task, r.run, how)
}

// order is the body of a call to an executor.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"task_spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int    `json:"last_seen"`
	WaitMs       int    `json:"wait_ms"`
}

// receive reads a call for this life. It returns false after it has answered another one.
func (e *executor) receive(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if r.Header.Get("X-Rosemarywalk-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

// serve answers an order by execute, which returns the reason of a refusal or "".
func (e *executor) serve(execute func(order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := e.receive(w, r)
		if !ok {
			return
		}
		e.mu.Lock()
		if !e.up {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		e.advance()
		reason := "fence"
		if o.FencingToken >= e.token {
			e.token = o.FencingToken
			reason = execute(o)
		}
		answer := map[string]any{"clock_ms": e.clock().Milliseconds()}
		e.mu.Unlock()
		status := http.StatusOK
		if reason != "" {
			status, answer["reason"] = http.StatusConflict, reason
		}
		sendJSON(w, status, answer)
	}
}

// extend extends the lease, which never shortens. The caller holds e.mu.
func (e *executor) extend(deadlineMs int64) {
	e.lease = max(e.lease, min(time.Duration(deadlineMs)*time.Millisecond, e.clock()+maxHold))
}

// start begins a run. The caller holds e.mu.
func (e *executor) start(o order) string {
	if time.Duration(o.DeadlineMs)*time.Millisecond <= e.clock() {
		return "late"
	}
	e.extend(o.DeadlineMs)
	known := slices.ContainsFunc(e.runs, func(r *start) bool { return r.task == o.Task && r.run == o.Run })
	switch {
	case known:
		return ""
	case o.Run <= e.past[o.Task]:
		return "old"
	case (len(e.runs)+1)*e.taskSize.CPU > e.capacity.CPU, (len(e.runs)+1)*e.taskSize.MemMB > e.capacity.MemMB:
		return "room"
	}
	r := &start{
		executor: e.id,
		kind:     e.kind,
		task:     o.Task,
		run:      o.Run,
		spec:     parseSpec(o.TaskSpec),
		at:       time.Now(),
	}
	e.runs, e.starts = append(e.runs, r), append(e.starts, r)
	e.record.addAt(r.at, "executor %s (kind %s) starts %s run %d, %s", e.id, e.kind, o.Task, o.Run, o.TaskSpec)
	return ""
}

// stop ends a run. The caller holds e.mu.
func (e *executor) stop(o order) string {
	for _, r := range slices.Clone(e.runs) {
		if r.task == o.Task && r.run == o.Run {
			e.end(time.Now(), r, "stopped")
		}
	}
	e.past[o.Task] = max(e.past[o.Task], o.Run)
	return ""
}

// hold answers with the lists, at once or when a run has ended.
func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	born := e.born
	if o.FencingToken < e.token {
		answer := map[string]any{"clock_ms": e.clock().Milliseconds(), "reason": "fence"}
		e.mu.Unlock()
		sendJSON(w, http.StatusConflict, answer)
		return
	}
	e.token = o.FencingToken
	e.advance()
	if o.DeadlineMs > 0 {
		e.extend(o.DeadlineMs)
	}
	e.ended = slices.DeleteFunc(e.ended, func(x endedRow) bool { return x.number <= o.LastSeen })
	end := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(e.ended) == 0 && time.Now().Before(end) && e.up && e.born.Equal(born) {
		e.mu.Unlock()
		time.Sleep(step)
		e.mu.Lock()
		e.advance()
	}
	if !e.up || !e.born.Equal(born) {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range e.runs {
		percent := min(99, int(100*time.Since(x.at)/max(1, x.spec.work)))
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	for _, x := range e.ended[:min(maxRows, len(e.ended))] {
		ended = append(ended, x.row)
	}
	answer := map[string]any{
		"clock_ms": e.clock().Milliseconds(),
		"born":     e.born.UnixMilli(),
		"running":  running,
		"ended":    ended,
	}
	e.mu.Unlock()
	sendJSON(w, http.StatusOK, answer)
}

// began returns the starts so far.
func (e *executor) began() []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	starts := make([]start, 0, len(e.starts))
	for _, s := range e.starts {
		starts = append(starts, *s)
	}
	return starts
}
