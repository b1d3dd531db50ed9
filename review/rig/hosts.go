package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is one process of the system.
type host struct {
	name     string
	ip       string
	zone     string
	binary   string
	settings string
	log      string
	entry    string
	ready    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Ports of hosts are below those that the system assigns to outgoing connections, one of which
// could take a host's port while its process restarts.
const (
	firstPort = 20000
	portRange = 12000
)

func freePort(ip string) int {
	for {
		port := firstPort + rand.IntN(portRange)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
}

// settingsText is the template of the deploy folder, filled in.
const settingsText = `[self]
name = %[1]s
domain = %[2]s
cores = 1
share = 0.4
[log]
format = json
output = stdout
[memory]
host = 284
[entry]
listen = %[3]s:%[4]d
ready = %[3]s:%[5]d
metrics = %[3]s:%[6]d
grace = 6s
waits = remaining
[peer]
listen = %[3]s:%[7]d
dial = 200ms
silence = 400ms
[pool]
granted = 1000ms
stop = 50ms
[schedule]
resubmit = 1300ms
[store]
address = %[8]s
`

func newHost(dir, binary, name, ip, zone, storeAddress string) *host {
	ports := [4]int{}
	for i := range ports {
		ports[i] = freePort(ip)
	}
	h := &host{
		name:     name,
		ip:       ip,
		zone:     zone,
		binary:   binary,
		settings: filepath.Join(dir, name+".ini"),
		log:      filepath.Join(dir, name+".log"),
		entry:    fmt.Sprintf("%s:%d", ip, ports[0]),
		ready:    fmt.Sprintf("%s:%d", ip, ports[1]),
	}
	text := fmt.Sprintf(settingsText, name, zone, ip, ports[0], ports[1], ports[2], ports[3], storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return h
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary, "serve", "--edition", "platform")
	cmd.Env = []string{"ROSEMARYWALK_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(h.exited)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(s)
}

// stop ends the process, with a signal first and by force after the grace period.
func (h *host) stop(s syscall.Signal) {
	h.signal(s)
	if h.exited == nil {
		return
	}
	select {
	case <-h.exited:
	case <-time.After(6 * time.Second):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
