package experiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	hosts "rosemarywalk/io/platform"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/server"
)

const (
	service = "valuation"
	// startLimit bounds the wait for the hosts to find each other.
	startLimit = 30 * time.Second
	startEvery = 100 * time.Millisecond
)

// fleet is the processes and stand-ins of one run.
type fleet struct {
	plan      Plan
	binary    string
	dir       string
	platform  *platform.Platform
	servers   []*server.Server
	listed    []hosts.ListedHost
	listeners []net.Listener
	web       *http.Server
	processes []*exec.Cmd
	callers   []string // base URLs
	operators []string // base URLs
	peers     []string // addresses
}

// startFleet starts stand-ins in this process and hosts as processes.
func startFleet(ctx context.Context, plan Plan, binary, dir string) (*fleet, error) {
	f := &fleet{
		plan:     plan,
		binary:   binary,
		dir:      dir,
		platform: platform.New(1),
	}
	url, err := f.startPlatform()
	if err != nil {
		return f, err
	}
	for i := range plan.Servers {
		if err := f.startServer(i); err != nil {
			return f, err
		}
	}
	f.findAddresses()
	for i := range plan.Hosts {
		if err := f.startHost(i, url); err != nil {
			return f, err
		}
	}
	return f, f.wait(ctx)
}

func (f *fleet) startPlatform() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "listen for platform")
	}
	f.platform.SetFaults(platform.Faults{Delay: int(f.plan.Delay / time.Millisecond)})
	f.web = &http.Server{
		Handler:           f.platform.Router(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = f.web.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (f *fleet) startServer(i int) error {
	id := fmt.Sprintf("server-%03d", i)
	s := server.New(server.Config{
		ID:          id,
		Slots:       f.plan.Slots,
		Connections: f.plan.Connections,
	})
	listener, err := server.Listen(s, "127.0.0.1:0")
	if err != nil {
		return err
	}
	listed := hosts.ListedHost{
		ID:          id,
		Address:     listener.Addr().String(),
		Domain:      f.domain(i),
		Services:    []string{service},
		State:       "live",
		Slots:       f.plan.Slots,
		Connections: f.plan.Connections,
	}
	f.servers = append(f.servers, s)
	f.listed = append(f.listed, listed)
	f.listeners = append(f.listeners, listener)
	f.platform.SetHost(listed)
	return nil
}

func (f *fleet) domain(i int) string { return fmt.Sprintf("domain-%d", i%f.plan.Domains) }

// findAddresses gives each host a loopback address of its own, with fixed
// ports: no other connection can take them in between.
func (f *fleet) findAddresses() {
	for i := range f.plan.Hosts {
		ip := fmt.Sprintf("127.10.0.%d", i+1)
		f.callers = append(f.callers, "http://"+net.JoinHostPort(ip, "7000"))
		f.operators = append(f.operators, "http://"+net.JoinHostPort(ip, "7200"))
		f.peers = append(f.peers, net.JoinHostPort(ip, "7100"))
	}
}

func (f *fleet) startHost(i int, platformURL string) error {
	lines := []string{
		"[host]", "domain = " + f.domain(i), "secret = a-secret-for-experiments",
		"[log]", "level = error",
		"[caller]", "listen = " + strings.TrimPrefix(f.callers[i], "http://"),
		"[operator]", "listen = " + strings.TrimPrefix(f.operators[i], "http://"),
		"[platform]", "url = " + platformURL,
		"[peer]", "listen = " + f.peers[i], "seeds = " + f.peers[0],
		"[fleet]", fmt.Sprintf("hosts = %d", f.plan.Hosts),
		"[drain]", "linger = 0s", "limit = 1s", "handover = 0s",
	}
	lines = append(lines, f.plan.Variants[0].Lines...)
	file := filepath.Join(f.dir, fmt.Sprintf("host-%d.ini", i))
	if err := os.WriteFile(file, []byte(merge(lines)), 0o600); err != nil {
		return errors.Annotate(err, "write settings")
	}
	cmd := exec.Command(f.binary, "serve", "--settings", file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return errors.Annotate(err, "start host")
	}
	f.processes = append(f.processes, cmd)
	return nil
}

// merge puts the lines of sections that stand more than once together.
func merge(lines []string) string {
	var order []string
	sections := map[string][]string{}
	current := ""
	for _, line := range lines {
		if strings.HasPrefix(line, "[") {
			current = line
			if _, known := sections[line]; !known {
				order = append(order, line)
				sections[line] = nil
			}
			continue
		}
		sections[current] = append(sections[current], line)
	}
	var b strings.Builder
	for _, section := range order {
		b.WriteString(section + "\n" + strings.Join(sections[section], "\n") + "\n")
	}
	return b.String()
}

// wait returns when every host uses every server and knows every host.
func (f *fleet) wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		m := f.metrics()
		want := float64(f.plan.Hosts)
		if sum(m, "rosemarywalk_usable") == want*float64(f.plan.Servers) && sum(m, "rosemarywalk_hosts") == want*want {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the hosts did not find each other and the servers")
		case <-time.After(startEvery):
		}
	}
}

// stop ends the processes that this run started, and its stand-ins.
func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.processes {
		_ = p.Wait()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	if f.web != nil {
		_ = f.web.Close()
	}
}
