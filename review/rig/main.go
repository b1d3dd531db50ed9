// Program rig runs hosts of rosemarywalk against stand-ins of the users' platform, for the cases
// of this review.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

var (
	binary  = flag.String("binary", "target/rosemarywalk", "program that the deploy file builds")
	output  = flag.String("record", "record.txt", "file for what was sent, answered and run")
	name    = flag.String("case", "", "case to run")
	trouble = flag.Bool("trouble", true, "whether the disruption happens")
)

// Bounds of the sites.
const (
	contact     = 3 * time.Second // contact_ms
	configApply = 2 * time.Second // config_apply_ms
	cancelLimit = 3 * time.Second // cancel_ms
	resubmit    = 1300 * time.Millisecond
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// rig is a small deployment: a store, executors and hosts.
type rig struct {
	*ledger

	store   *store
	hosts   []*host
	servers []*executor
	version int
	started time.Time // of the hosts
}

const virtualHost = "desk.example"

// cases are the programs of the cases.
var cases = map[string]func(*rig){
	"cancel": (*rig).canceledJobReturns,
	"silent": (*rig).silentConnections,
	"kind":   (*rig).otherKind,
	"stale":  (*rig).staleOrder,
}

func main() {
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Println("no such case")
		os.Exit(exitFailed)
	}
	os.Exit(play(run))
}

// play runs a case in a folder of its own, and ends all hosts.
func play(run func(*rig)) int {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l, err := newLedger(*output)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	r := &rig{
		ledger: l,
		store:  newStore(),
	}
	if err := r.launch(dir); err != nil {
		r.logf("could not run: %s", err)
		r.shutDown()
		return exitFailed
	}
	run(r)
	r.shutDown()
	r.logf("rule broken %d times", r.broken)
	if r.broken > 0 {
		return exitBroken
	}
	return exitHeld
}

const (
	zones     = 2
	hostCount = 4
	servers   = 8
	room      = 16000 // of an executor, in thousandths of a core
)

func (r *rig) launch(dir string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go r.store.serve(listener)
	r.putRoutes(1)
	for i := range servers {
		r.servers = append(r.servers, newExecutor(fmt.Sprintf("i-%08x", i+1), "svc", fmt.Sprintf("zone-%d", i%zones), room,
			[]string{"a", fmt.Sprintf("r%d", i%zones)}, r.ledger, r.store, uint64(i)))
	}
	network := 1 + rand.IntN(200)
	for i := range hostCount {
		r.hosts = append(r.hosts, newHost(dir, *binary, fmt.Sprintf("front-%d", i), fmt.Sprintf("127.0.%d.%d", network, i+1), fmt.Sprintf("zone-%d", i%zones), listener.Addr().String()))
	}
	r.started = time.Now()
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return r.waitReady(20 * time.Second)
}

// waitReady waits until all hosts report to be ready.
func (r *rig) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range r.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %s", h.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.logf("all hosts are ready")
	return nil
}

func (r *rig) shutDown() {
	for _, h := range r.hosts {
		h.stop(syscall.SIGKILL)
	}
}

func prefixOf(version int) string { return fmt.Sprintf("/v%d/", version) }

// putRoutes writes a configuration with the routes of some versions, as the operator does.
func (r *rig) putRoutes(versions ...int) {
	r.version++
	var routes []any
	for _, v := range versions {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", v), "host": virtualHost, "prefix": prefixOf(v), "kind": "non_idempotent", "timeout_ms": 12000,
			"slo_ms": 2000, "priority": 0, "service": "svc", "max_attempts": 3, "stretch": 3.0,
		})
	}
	r.store.put("op", "config", map[string]any{
		"config_version": r.version,
		"routes":         routes,
		"services": []any{map[string]any{
			"name": "svc", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.logf("operator: configuration %d with the routes of %v is acknowledged", r.version, versions)
}

// call sends a client's request to a host. The status is 0 without a complete answer.
func (r *rig) call(ctx context.Context, h *host, method, path, body string, wait time.Duration) (int, string) {
	ctx, end := context.WithTimeout(ctx, wait)
	defer end()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.entry+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = virtualHost
	req.Header.Set("X-Rosemarywalk-Deadline", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

// jobBody returns a best-effort job of steps that follow each other.
func jobBody(steps, tasks, ms int) string {
	var list []string
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		list = append(list, fmt.Sprintf(`{"count":%d,"cpu":1000,"mem_mb":64,"estimate_ms":%d%s}`, tasks, ms, after))
	}
	return fmt.Sprintf(`{"task_spec":"cpu=1000 ms=%d fails=0","best_effort":true,"steps":[%s]}`, ms, strings.Join(list, ","))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
