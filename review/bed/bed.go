package bed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rosemarywalk/platform/standin"
	"rosemarywalk/platform/wire"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Bounds of the small deployments, as in their site files.
const (
	ContactTime     = 3000 * time.Millisecond
	CancelTime      = 3000 * time.Millisecond
	StopTimeout     = 50 * time.Millisecond
	ConfigApplyTime = 2000 * time.Millisecond
	ResendDelay     = 1300 * time.Millisecond
)

// Bed is a running deployment.
type Bed struct {
	Record  *Record
	Starts  *Starts
	Checker *standin.RunChecker // of the runs at all backend servers
	Store   *standin.Store
	Hosts   []*Host
	Servers []*Server

	// RowBytes is the most bytes of a row that the store takes, 0 for any number.
	RowBytes int

	// Linked puts a link in front of each host's peer address and of its callers' address.
	Linked bool

	// Disturbed is false if the script runs without its disruption.
	Disturbed bool

	dir          string
	net          string // first three bytes of the hosts' addresses
	storeAddress string
	closers      []func()
}

// VirtualHost is the name that the routes are bound to.
const VirtualHost = "desk.example"

// Run runs a script in the folder of a case, with its disruption or without it, and exits with
// its result.
func Run(caseDir string, disturbed bool, script func(b *Bed) (broken bool, err error)) {
	os.Exit(run(caseDir, disturbed, script))
}

func run(caseDir string, disturbed bool, script func(b *Bed) (broken bool, err error)) int {
	record, err := NewRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Add("no temporary folder: %s", err)
		return ExitNotRun
	}
	b := &Bed{
		Record: record,
		Starts: &Starts{
			record: record,
			seen:   map[Start]bool{},
		},
		Checker:   standin.NewRunChecker(),
		Store:     standin.NewStore(),
		Disturbed: disturbed,
		dir:       dir,
		net:       fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250)),
	}
	defer b.close()
	b.Record.Add("disruption: %t", b.Disturbed)
	broken, err := script(b)
	switch {
	case err != nil:
		record.Add("not run: %s", err)
		return ExitNotRun
	case broken:
		record.Add("the rule was broken")
		return ExitBroken
	}
	record.Add("the rule held")
	return ExitHeld
}

func (b *Bed) close() {
	for _, h := range b.Hosts {
		h.kill()
	}
	for _, f := range b.closers {
		f()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range b.Hosts {
			raw, _ := os.ReadFile(filepath.Join(b.dir, h.Name+".log"))
			_ = os.WriteFile(filepath.Join(keep, h.Name+".log"), raw, 0o600)
		}
	}
	_ = os.RemoveAll(b.dir)
}

// Serve serves HTTP on a free loopback port and returns its address.
func (b *Bed) Serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	b.closers = append(b.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// StartStore starts the store with a configuration.
func (b *Bed) StartStore(config wire.Config) error {
	address, err := b.Serve(limitRows(b.RowBytes, b.Record, b.Store.Router()))
	if err != nil {
		return err
	}
	b.storeAddress = address
	b.PutConfig(config)
	return nil
}

// PutConfig writes a configuration as the operator does.
func (b *Bed) PutConfig(config wire.Config) {
	b.Store.Put("op", "config", config)
	b.Record.Add("the store has acknowledged configuration %d", config.ConfigVersion)
}

// Route returns a route of a configuration.
func Route(prefix, service string) wire.Route {
	return wire.Route{
		Host:        VirtualHost,
		MaxAttempts: 4,
		Name:        strings.Trim(prefix, "/"),
		Prefix:      prefix,
		Service:     service,
		SloMs:       60,
		Stretch:     1.6,
		TimeoutMs:   60_000,
	}
}

// Config returns a configuration.
func Config(version int, services []string, routes ...wire.Route) wire.Config {
	config := wire.Config{
		ConfigVersion: version,
		Limits:        wire.Limits{MaxBodyBytes: 262_144},
		Routes:        routes,
	}
	for _, name := range services {
		config.Services = append(config.Services, wire.Service{
			AdmissionCheck: true,
			MaxConns:       64,
			Name:           name,
		})
	}
	return config
}

// AddServer starts a backend server and registers it in the store.
func (b *Bed) AddServer(id, service, zone string) (*Server, error) {
	s := &Server{
		Server: standin.NewServer(id, standin.Behavior{
			RunTime: time.Second,
			Slots:   slots,
		}, b.Checker),
		ID:      id,
		Service: service,
		Zone:    zone,
		born:    time.Now(),
	}
	address, err := b.Serve(b.Starts.recordStarts(id, s.Router()))
	if err != nil {
		return nil, err
	}
	s.Address = address
	b.closers = append(b.closers, s.Close)
	b.Servers = append(b.Servers, s)
	b.Store.Put("servers", id, s.entry("ready"))
	return s, nil
}

// AddHost starts a host.
func (b *Bed) AddHost(zone string) (*Host, error) {
	n := len(b.Hosts) + 1
	h := &Host{
		Name: fmt.Sprintf("front-%s-%d", zone, n),
		IP:   fmt.Sprintf("%s.%d", b.net, n),
		Zone: zone,
		bed:  b,
	}
	if err := checkFree(h.IP, portFront, portReadiness, portPeer, lastPeerPort, 9464); err != nil {
		return nil, err
	}
	if err := b.addLinks(h); err != nil {
		return nil, err
	}
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(b.dir, h.Name+".log"))
	if err != nil {
		return nil, err
	}
	h.logFile = log
	b.Hosts = append(b.Hosts, h)
	return h, h.Start()
}

// Isolate cuts a host off from the other hosts until the returned function is called. Its
// callers, its backend servers and the store stay within its reach.
func (b *Bed) Isolate(h *Host) (heal func()) {
	b.Record.Add("%s is cut off from the other hosts", h.Name)
	links := []*Link{h.Peer}
	h.Peer.Hold("")
	for _, other := range b.Hosts {
		if other != h {
			other.Peer.Hold(h.IP)
			links = append(links, other.Peer)
		}
	}
	return func() {
		b.Record.Add("%s is not cut off any more", h.Name)
		for _, l := range links {
			l.Release()
		}
	}
}

// addLinks starts the links of a host.
func (b *Bed) addLinks(h *Host) error {
	if !b.Linked {
		return nil
	}
	var err error
	if h.Peer, err = b.NewLink(fmt.Sprintf("%s:%d", h.IP, lastPeerPort), fmt.Sprintf("%s:%d", h.IP, portPeer)); err != nil {
		return err
	}
	h.Front, err = b.NewLink("127.0.0.1:0", fmt.Sprintf("%s:%d", h.IP, portFront))
	return err
}

// checkFree reports an error if a port is in use.
func checkFree(ip string, ports ...int) error {
	for _, port := range ports {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

// startTimeout limits the wait for the hosts to be ready.
const startTimeout = 20 * time.Second

// WaitReady waits until hosts are ready, all if none are given, and lets them settle.
func (b *Bed) WaitReady(hosts ...*Host) error {
	if len(hosts) == 0 {
		hosts = b.Hosts
	}
	end := time.Now().Add(startTimeout)
	for _, h := range hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return errors.New(h.Name + " was not ready in time")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * ContactTime)
	b.Record.Add("the hosts are ready")
	return nil
}

// Answer is the response to a request.
type Answer struct {
	Sent   time.Time
	At     time.Time
	Status int // 0 without a response
	Body   string
}

// Call sends a request to a host as a client that waits for at most the given time.
func (b *Bed) Call(h *Host, method, path, body string, wait time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	answer := Answer{Sent: time.Now()}
	b.Record.Add("%s %s sent to %s", method, path, h.Name)
	req, err := http.NewRequestWithContext(ctx, method, h.FrontURL()+path, strings.NewReader(body))
	if err != nil {
		return answer
	}
	req.Host = VirtualHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Rosemarywalk-Deadline", fmt.Sprint(wait.Milliseconds()))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	answer.At = time.Now()
	if err != nil {
		b.Record.Add("%s %s at %s got no response: %s", method, path, h.Name, err)
		return answer
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	answer.At, answer.Status, answer.Body = time.Now(), resp.StatusCode, strings.TrimSpace(string(raw))
	if err != nil {
		answer.Status = 0
	}
	b.Record.Add("%s %s at %s answered %d %s", method, path, h.Name, answer.Status, answer.Body)
	return answer
}

// ID returns a job ID that was not used before.
func ID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Zone is a failure domain with its hosts and backend servers.
type Zone struct {
	Name    string
	Hosts   int
	Servers int
}

// StartZones starts the backend servers of the services and the hosts of all zones, and waits
// until these are ready.
func (b *Bed) StartZones(zones []Zone, services ...string) error {
	for _, zone := range zones {
		for i := range zone.Servers {
			service := services[i%len(services)]
			if _, err := b.AddServer(fmt.Sprintf("%s-%d", zone.Name, i+1), service, zone.Name); err != nil {
				return err
			}
		}
	}
	for _, zone := range zones {
		for range zone.Hosts {
			if _, err := b.AddHost(zone.Name); err != nil {
				return err
			}
		}
	}
	return b.WaitReady()
}

// HostIn returns the first host of a zone.
func (b *Bed) HostIn(zone string) *Host {
	for _, h := range b.Hosts {
		if h.Zone == zone {
			return h
		}
	}
	return nil
}

// Chain returns the body of a best-effort job whose steps of one task each run one after the
// other.
func Chain(steps int, taskTime time.Duration) string {
	job := wire.Job{
		BestEffort: true,
		TaskSpec:   taskTime.String(),
	}
	for i := range steps {
		step := wire.Step{
			Count:      1,
			Cpu:        14000,
			MemMb:      64,
			EstimateMs: int(taskTime.Milliseconds()),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	raw, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// OfJob returns the starts of a job's tasks.
func (s *Starts) OfJob(id string) []Start {
	var starts []Start
	for _, start := range s.All() {
		if strings.HasPrefix(start.Task, id+".") {
			starts = append(starts, start)
		}
	}
	return starts
}
