package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Names of the deployment that the cases play.
const (
	service = "oil-analysis"
	vhost   = "desk.example"
	prefix  = "/lab/"
)

// zones are the failure domains. Each has one front.
var zones = []string{"bogota-a", "medellin-b", "cali-c"}

// front is a process of the system.
type front struct {
	name    string
	zone    string
	entry   string
	ready   string
	file    string
	log     *os.File
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is the store, the executors and the fronts of a small deployment.
type fleet struct {
	dir       string
	record    *record
	store     *store
	address   string // of the store
	executors []*executor
	fronts    []*front
}

var errNoPort = errors.New("no free port")

// listenAt opens a listener at a free port of a loopback address, below those that the system
// gives to outgoing connections.
func listenAt(ip string) (net.Listener, error) {
	const first, ports, attempts = 20000, 12000, 100
	for range attempts {
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+rand.IntN(ports))); err == nil {
			return l, nil
		}
	}
	return nil, errNoPort
}

func freeAddress(ip string) (string, error) {
	l, err := listenAt(ip)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newFleet(dir string, r *record) (*fleet, error) {
	l, err := listenAt("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &fleet{
		dir:     dir,
		record:  r,
		store:   startStore(l),
		address: l.Addr().String(),
	}, nil
}

// configure writes a configuration of one route.
func (f *fleet) configure(version, timeoutMs, sloMs int) {
	f.store.put("op", "config", map[string]any{
		"config_version": version,
		"routes": []any{map[string]any{
			"name": "r-lab", "host": vhost, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": timeoutMs,
			"slo_ms": sloMs, "priority": 0, "service": service, "max_attempts": 2, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "standby": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	f.record.add("configuration %d: timeout_ms %d, slo_ms %d", version, timeoutMs, sloMs)
}

// addExecutor begins an executor in the zone whose turn it is.
func (f *fleet) addExecutor(kind string, capacity, taskSize size) error {
	n := len(f.executors)
	address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
	if err != nil {
		return err
	}
	e := &executor{
		id:       fmt.Sprintf("i-%08x", rand.Uint32()),
		address:  address,
		zone:     zones[n%len(zones)],
		service:  service,
		capacity: capacity,
		taskSize: taskSize,
		store:    f.store,
		record:   f.record,
	}
	f.executors = append(f.executors, e)
	return e.begin(kind)
}

// render fills in the deploy file's template with the fields of a platform's settings.
func render(template string, fields map[string]string) string {
	section := regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		parts := section.FindStringSubmatch(s)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return fields[strings.Trim(s, "{}")]
	})
}

// addFront starts a front in a zone, with the settings of the small sites.
func (f *fleet) addFront(zone string) error {
	n := len(f.fronts) + 1
	ip := fmt.Sprintf("127.0.1.%d", n)
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(ip); err != nil {
			return err
		}
	}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return err
	}
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	text := render(string(template), map[string]string{
		"node_name": fmt.Sprintf("front-%s-%d", zone, n), "zone": zone, "ip": ip,
		"limits.cores": "1", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen_addrs.front": addresses[0], "listen_addrs.readiness_addr": addresses[1], "internal_ports.0": peerPort,
		"bounds.grace_s": "6", "bounds.max_hold_ms": "1000", "bounds.stop_timeout_ms": "50", "bounds.retransmit_ms": "1300",
		"platform.address": f.address,
	})
	h := &front{
		name:  fmt.Sprintf("front-%s-%d", zone, n),
		zone:  zone,
		entry: addresses[0],
		ready: addresses[1],
		file:  filepath.Join(f.dir, fmt.Sprintf("settings-%d.ini", n)),
	}
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		return err
	}
	if h.log, err = os.Create(filepath.Join(f.dir, h.name+".log")); err != nil {
		return err
	}
	f.fronts = append(f.fronts, h)
	return f.start(h)
}

// start starts the process of a front, for the first time or again.
func (f *fleet) start(h *front) error {
	h.command = exec.Command("target/rosemarywalk", "serve", "--edition", "platform")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "ROSEMARYWALK_SETTINGS=" + h.file}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return err
	}
	command, ended := h.command, make(chan struct{})
	h.ended = ended
	f.record.add("%s starts, process %d, entry %s", h.name, command.Process.Pid, h.entry)
	go func() {
		_ = command.Wait()
		f.record.add("%s has ended", h.name)
		close(ended)
	}()
	return nil
}

// signal sends a signal to a front's process.
func (f *fleet) signal(h *front, s syscall.Signal) {
	f.record.add("%s gets %s", h.name, s)
	_ = h.command.Process.Signal(s)
}

// isReady asks a front as the platform does.
func (h *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a front did not become ready")

// leadTime is the time between the start of the machines and that of the traffic.
const leadTime = 10 * time.Second

// settle waits until all fronts are ready, and leadTime longer, as traffic starts 10 s after the
// machines do.
func (f *fleet) settle() error {
	end := time.Now().Add(leadTime)
	for _, h := range f.fronts {
		for !h.isReady() {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(step)
		}
	}
	f.record.add("all fronts are ready")
	time.Sleep(time.Until(end))
	return nil
}

// close ends all processes and executors.
func (f *fleet) close() {
	for _, h := range f.fronts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Kill()
		_ = h.command.Process.Signal(syscall.SIGCONT)
		<-h.ended
		_ = h.log.Close()
	}
	for _, e := range f.executors {
		e.crash()
	}
	_ = f.store.server.Close()
}
