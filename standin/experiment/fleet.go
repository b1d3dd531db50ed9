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

	platformapi "rosemarywalk/io/platform"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/server"
)

const (
	serviceName = "valuation"
	// startTimeout limits how long the hosts may take to discover each other and
	// the servers.
	startTimeout      = 30 * time.Second
	startPollInterval = 100 * time.Millisecond
)

// fleet holds the host processes and the stand-ins of one run.
type fleet struct {
	plan           Plan
	binary         string
	dir            string
	platform       *platform.Platform
	servers        []*server.Server
	listed         []platformapi.ListedHost
	listeners      []net.Listener
	platformServer *http.Server
	processes      []*exec.Cmd
	callerURLs     []string
	operatorURLs   []string
	peerAddresses  []string
}

// startFleet starts the stand-ins within this process and each host as a process
// of its own, and waits until the hosts are ready. The fleet must be stopped even
// if an error is returned.
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
	f.assignAddresses()
	for i := range plan.Hosts {
		if err := f.startHost(i, url); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) startPlatform() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "listen for platform")
	}
	f.platform.SetFaults(platform.Faults{Delay: int(f.plan.PlatformDelay / time.Millisecond)})
	f.platformServer = &http.Server{
		Handler:           f.platform.Router(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = f.platformServer.Serve(listener) }()
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
	listed := platformapi.ListedHost{
		ID:          id,
		Address:     listener.Addr().String(),
		Domain:      f.domain(i),
		Services:    []string{serviceName},
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

// assignAddresses gives each host a loopback address of its own with fixed ports,
// so that no other connection can take a port before the host listens on it.
func (f *fleet) assignAddresses() {
	for i := range f.plan.Hosts {
		ip := fmt.Sprintf("127.10.0.%d", i+1)
		f.callerURLs = append(f.callerURLs, "http://"+net.JoinHostPort(ip, "7000"))
		f.operatorURLs = append(f.operatorURLs, "http://"+net.JoinHostPort(ip, "7200"))
		f.peerAddresses = append(f.peerAddresses, net.JoinHostPort(ip, "7100"))
	}
}

func (f *fleet) startHost(i int, platformURL string) error {
	lines := []string{
		"[host]", "domain = " + f.domain(i), "secret = a-secret-for-experiments",
		"[log]", "level = error",
		"[caller]", "listen = " + strings.TrimPrefix(f.callerURLs[i], "http://"),
		"[operator]", "listen = " + strings.TrimPrefix(f.operatorURLs[i], "http://"),
		"[platform]", "url = " + platformURL,
		"[peer]", "listen = " + f.peerAddresses[i], "seeds = " + f.peerAddresses[0],
		"[fleet]", fmt.Sprintf("hosts = %d", f.plan.Hosts),
		"[drain]", "linger = 0s", "limit = 1s", "handover = 0s",
	}
	lines = append(lines, f.plan.Variants[0].Lines...)
	file := filepath.Join(f.dir, fmt.Sprintf("host-%d.ini", i))
	if err := os.WriteFile(file, []byte(mergeSections(lines)), 0o600); err != nil {
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

// mergeSections combines the lines of sections that occur more than once.
func mergeSections(lines []string) string {
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

// waitReady waits until every host can use every server and knows every host.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		m := f.scrapeHosts()
		want := float64(f.plan.Hosts)
		if sumSeries(m, "rosemarywalk_usable") == want*float64(f.plan.Servers) && sumSeries(m, "rosemarywalk_hosts") == want*want {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("hosts not ready: not all of them discovered all hosts and backend servers")
		case <-time.After(startPollInterval):
		}
	}
}

// stop terminates the host processes and closes the stand-ins.
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
	if f.platformServer != nil {
		_ = f.platformServer.Close()
	}
}
