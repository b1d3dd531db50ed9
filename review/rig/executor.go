package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold   = time.Second
	stopTime  = 50 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

type runKey struct {
	task string
	run  int
}

type execRun struct {
	*taskRun

	endsAt time.Time
	how    string
	stopAt time.Time
}

type execEnd struct {
	n    int
	task string
	run  int
	how  string
}

// executor runs tasks under a lease.
type executor struct {
	id      string
	service string
	zone    string
	labels  []string
	room    int
	rate    float64 // of its steady clock
	ledger  *ledger
	store   *store
	address string

	mu       sync.Mutex
	server   *http.Server
	rng      *rand.Rand
	born     time.Time
	up       bool
	cut      bool   // no host reaches it, nor it the store
	trap     string // job whose next start is left unanswered
	trapped  chan order
	token    int
	leaseEnd int64
	runs     map[runKey]*execRun
	highest  map[string]int
	ends     []execEnd
	endCount int
	life     int
	seq      int
}

func newExecutor(id, service, zone string, room int, labels []string, l *ledger, s *store, seed uint64) *executor {
	e := &executor{
		id:      id,
		service: service,
		zone:    zone,
		labels:  labels,
		room:    room,
		ledger:  l,
		store:   s,
		rng:     rand.New(rand.NewPCG(seed, 77)),
		rate:    1,
		trapped: make(chan order, 1),
	}
	e.rate = 1 - 0.02*e.rng.Float64()
	e.address = fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	e.boot()
	go e.tick()
	return e
}

func (e *executor) boot() {
	e.mu.Lock()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		panic(err)
	}
	e.server = &http.Server{Handler: e}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	e.begin()
	e.mu.Unlock()
	e.register()
}

// begin starts a process that knows nothing of those before.
func (e *executor) begin() {
	e.born, e.up, e.token, e.leaseEnd = time.Now(), true, 0, 0
	e.runs, e.highest, e.ends, e.endCount = map[runKey]*execRun{}, map[string]int{}, nil, 0
	e.life++
}

func (e *executor) register() {
	e.mu.Lock()
	if !e.up || e.cut {
		e.mu.Unlock()
		return
	}
	e.seq++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "config_version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": e.room, "mem_mb": 65536, "gpu": 0}, "labels": e.labels,
		"clock_ms": e.clock(), "seq_no": e.seq, "born": e.born.UnixMilli(),
	}
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

// restartUnseen ends the process behind a cut, so that no host sees its connections end, and starts
// another one under the same ID.
func (e *executor) restartUnseen(down time.Duration) {
	e.mu.Lock()
	for _, r := range e.runs {
		e.ledger.end(r.taskRun, "crashed")
	}
	e.runs, e.up = map[runKey]*execRun{}, false
	e.mu.Unlock()
	time.Sleep(down)
	e.mu.Lock()
	e.begin()
	e.mu.Unlock()
}

// restart ends the process without notice. Another one starts after a time under the same ID and
// address, with other labels.
func (e *executor) restart(down time.Duration, labels []string) {
	e.mu.Lock()
	for _, r := range e.runs {
		e.ledger.end(r.taskRun, "crashed")
	}
	e.runs, e.up = map[runKey]*execRun{}, false
	_ = e.server.Close()
	e.mu.Unlock()
	time.Sleep(down)
	e.mu.Lock()
	e.labels = labels
	e.mu.Unlock()
	e.boot()
}

func (e *executor) clock() int64 {
	return int64(e.rate * float64(time.Since(e.born).Microseconds()) / 1000)
}

func (e *executor) used() int {
	n := 0
	for _, r := range e.runs {
		n += r.size
	}
	return n
}

func (e *executor) tick() {
	beat := time.Now()
	for {
		time.Sleep(time.Millisecond)
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
		if time.Since(beat) > heartbeat {
			beat = time.Now()
			e.register()
		}
	}
}

func (e *executor) advance() {
	if !e.up {
		return
	}
	now, clock := time.Now(), e.clock()
	for key, r := range e.runs {
		switch {
		case clock >= e.leaseEnd:
			e.finish(key, r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			e.finish(key, r, "stopped")
		case !now.Before(r.endsAt):
			e.finish(key, r, r.how)
		}
	}
}

func (e *executor) finish(key runKey, r *execRun, how string) {
	delete(e.runs, key)
	e.highest[key.task] = max(e.highest[key.task], key.run)
	e.endCount++
	e.ends = append(e.ends, execEnd{
		n:    e.endCount,
		task: key.task,
		run:  key.run,
		how:  how,
	})
	e.ledger.end(r.taskRun, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline *int64 `json:"deadline_ms"`
	Token    int    `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	from     string
	Wait     int `json:"wait_ms"`
}

func silence(r *http.Request) { <-r.Context().Done() }

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var o order
	_ = json.Unmarshal(raw, &o)
	o.from, _, _ = net.SplitHostPort(r.RemoteAddr)
	e.mu.Lock()
	up, cut, life := e.up, e.cut, e.life
	if !cut && e.trap != "" && r.URL.Path == "/-/run-start" && jobOf(o.Task) == e.trap {
		e.trap, e.cut, cut = "", true, true
		e.trapped <- o
	}
	e.mu.Unlock()
	if cut {
		silence(r)
		return
	}
	if !up {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Rosemarywalk-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Wait > 0 {
		e.waitForEnd(o)
	}
	e.mu.Lock()
	if !e.up || e.life != life {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, answer := e.execute(r.URL.Path, o)
	cut = e.cut
	e.mu.Unlock()
	if cut {
		silence(r)
		return
	}
	writeJSON(w, status, answer)
}

func (e *executor) waitForEnd(o order) {
	end := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	e.mu.Lock()
	if o.Token >= e.token && o.Deadline != nil {
		e.token = o.Token
		e.extend(*o.Deadline)
	}
	e.mu.Unlock()
	for time.Now().Before(end) {
		e.mu.Lock()
		e.advance()
		found := len(e.ends) > 0 && e.ends[len(e.ends)-1].n > o.LastSeen
		e.mu.Unlock()
		if found {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (e *executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) execute(path string, o order) (int, map[string]any) {
	e.advance()
	answer := map[string]any{"clock_ms": e.clock()}
	conflict := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if o.Token < e.token {
		return conflict("fence")
	}
	e.token = o.Token
	switch path {
	case "/-/run-start":
		if o.Deadline == nil || *o.Deadline <= e.clock() {
			return conflict("late")
		}
		key := runKey{
			task: o.Task,
			run:  o.Run,
		}
		if e.runs[key] != nil {
			e.extend(*o.Deadline)
			return http.StatusOK, answer
		}
		if o.Run <= e.highest[o.Task] {
			e.extend(*o.Deadline)
			return conflict("old")
		}
		var size, ms, fails int
		_, _ = fmt.Sscanf(o.Spec, "cpu=%d ms=%d fails=%d", &size, &ms, &fails)
		if e.used()+size > e.room {
			e.extend(*o.Deadline)
			return conflict("room")
		}
		e.extend(*o.Deadline)
		how := "done"
		if e.rng.IntN(100) < fails {
			how = "failed"
		}
		work := time.Duration(float64(ms)*(0.8+0.4*e.rng.Float64())) * time.Millisecond
		r := &execRun{
			taskRun: &taskRun{
				server: e.id,
				task:   o.Task,
				run:    o.Run,
				size:   size,
				began:  time.Now(),
				labels: e.labels,
				from:   o.from,
			},
			endsAt: time.Now().Add(work),
			how:    how,
		}
		e.runs[key] = r
		e.ledger.started(r.taskRun)
	case "/-/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if r := e.runs[runKey{
			task: o.Task,
			run:  o.Run,
		}]; r != nil && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(time.Duration(e.rng.Float64() * float64(stopTime)))
		}
	case "/-/hold":
		if o.Deadline != nil {
			e.extend(*o.Deadline)
		}
		for len(e.ends) > 0 && e.ends[0].n <= o.LastSeen {
			e.ends = e.ends[1:]
		}
		running, ended := [][]any{}, [][]any{}
		for key, r := range e.runs {
			total := r.endsAt.Sub(r.began)
			running = append(running, []any{key.task, key.run, "", min(99, int(100*time.Since(r.began)/max(1, total)))})
		}
		for _, end := range e.ends[:min(500, len(e.ends))] {
			ended = append(ended, []any{end.n, end.task, end.run, end.how, ""})
		}
		answer["born"], answer["running"], answer["ended"] = e.born.UnixMilli(), running, ended
	default:
		if strings.HasSuffix(path, "/health") {
			return http.StatusOK, answer
		}
		return http.StatusBadRequest, answer
	}
	return http.StatusOK, answer
}
