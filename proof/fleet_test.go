package proof

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rosemarywalk/io/client"
	"rosemarywalk/io/operator"
	hosts "rosemarywalk/io/platform"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/proxy"
	"rosemarywalk/standin/server"
)

const (
	service = "valuation"
	// testTimeout bounds every wait. It is far above the duration of any step, so it
	// affects only how long a hung test runs.
	testTimeout = 60 * time.Second
)

var failureDomains = []string{"makati", "quezon", "pasig"}

// fleetOptions configures a test's fleet.
type fleetOptions struct {
	hosts          int
	servers        int
	slots          int
	homeScope      string                          // scope of a service's home; "host" when empty
	extraSettings  string                          // lines appended to every host's settings file
	callerSettings string                          // lines of the section caller
	command        func(settings string) *exec.Cmd // runs a host; the test's own program if nil
}

// fleet consists of host processes, and of a fake platform and fake backend servers
// that run in the test process.
type fleet struct {
	t             *testing.T
	dir           string
	options       fleetOptions
	platform      *platform.Platform
	platformProxy *proxy.Proxy // in front of the platform
	hosts         []*hostProcess
	servers       []*backend
}

// hostProcess is a host that runs as a process of its own.
type hostProcess struct {
	t            *testing.T
	name         string
	ip           string
	settingsFile string
	peerProxy    *proxy.Proxy                    // in front of the peer address
	callerURL    string                          // base URL
	operatorURL  string                          // base URL
	command      func(settings string) *exec.Cmd // the test's own program if nil
	cmd          *exec.Cmd
	log          *logBuffer
}

// backend is one backend server behind its proxy.
type backend struct {
	*server.Server
	id    string
	proxy *proxy.Proxy
}

// logBuffer collects a process's output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// newFleet starts a fleet and waits until every host knows all hosts and servers.
func newFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		dir:      t.TempDir(),
		options:  o,
		platform: platform.New(1),
	}
	f.platformProxy = f.serveBehindProxy(f.platform.Router())
	for i := range o.servers {
		f.addServer(i)
	}
	for i := range o.hosts {
		f.addHost(i)
	}
	for _, h := range f.hosts {
		h.start()
	}
	f.waitForConvergence()
	return f
}

// serveBehindProxy serves a handler behind a new proxy.
func (f *fleet) serveBehindProxy(handler http.Handler) *proxy.Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	httpServer := &http.Server{Handler: handler}
	go func() { _ = httpServer.Serve(listener) }()
	f.t.Cleanup(func() { _ = httpServer.Close() })
	return f.newProxy(listener.Addr().String())
}

func (f *fleet) newProxy(target string) *proxy.Proxy {
	p, err := proxy.Listen("127.0.0.1:0", target)
	assert.NilError(f.t, err)
	f.t.Cleanup(p.Close)
	return p
}

func (f *fleet) addServer(i int) {
	id := fmt.Sprintf("server-%d", i)
	s := server.New(server.Config{
		ID:          id,
		Slots:       f.options.slots,
		Connections: 64,
	})
	listener, err := server.Listen(s, "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	b := &backend{
		Server: s,
		id:     id,
		proxy:  f.newProxy(listener.Addr().String()),
	}
	f.servers = append(f.servers, b)
	f.listServer(b, "live")
}

// listServer adds a server to the platform's host list, or updates its entry.
func (f *fleet) listServer(b *backend, state string) {
	f.platform.SetHost(hosts.ListedHost{
		ID:          b.id,
		Address:     b.proxy.Address(),
		Domain:      failureDomains[len(f.servers)%len(failureDomains)],
		Services:    []string{service},
		State:       state,
		Slots:       f.options.slots,
		Connections: 64,
		Cores:       16,
		Memory:      64000,
	})
}

func (f *fleet) addHost(i int) {
	// Each host has its own IP address, so that proxies can tell hosts apart.
	ip := hostIP(i)
	h := &hostProcess{
		t:            f.t,
		name:         fmt.Sprintf("host-%d", i),
		ip:           ip,
		settingsFile: filepath.Join(f.dir, fmt.Sprintf("host-%d.ini", i)),
		callerURL:    "http://" + net.JoinHostPort(ip, "7000"),
		operatorURL:  "http://" + net.JoinHostPort(ip, "7200"),
		command:      f.options.command,
	}
	peer := net.JoinHostPort(ip, "7100")
	h.peerProxy = f.newProxy(peer)
	f.hosts = append(f.hosts, h)
	f.writeSettings(h, peer, failureDomains[i%len(failureDomains)])
}

// hostIP returns a loopback address for a host. It contains the process ID, so that
// test processes that run concurrently don't share addresses.
func hostIP(i int) string {
	const octetValues = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid/octetValues%100, 1+pid%octetValues, 1+i)
}

// writeSettings writes a host's settings; all hosts use the first one as seed.
func (f *fleet) writeSettings(h *hostProcess, peer, domain string) {
	text := strings.Join([]string{
		"[host]", "domain = " + domain, "secret = a-secret-for-the-proofs",
		"[log]", "level = info",
		"[caller]", "listen = " + strings.TrimPrefix(h.callerURL, "http://"), f.options.callerSettings,
		"[operator]", "listen = " + strings.TrimPrefix(h.operatorURL, "http://"),
		"[platform]", "url = http://" + f.platformProxy.Address(), "poll = 200ms", "timeout = 1s",
		"[member]", "period = 200ms", "dead = 2s",
		"[feed]", "pause = 200ms", "wait = 0s",
		"[peer]", "listen = " + peer, "advertise = " + h.peerProxy.Address(),
		"seeds = " + f.hosts[0].peerProxy.Address(), "silence = 1s",
		"[fleet]", fmt.Sprintf("hosts = %d", f.options.hosts), "home = " + cmp.Or(f.options.homeScope, "host"),
		f.options.extraSettings,
	}, "\n")
	assert.NilError(f.t, os.WriteFile(h.settingsFile, []byte(text), 0o600))
}

func (h *hostProcess) start() {
	h.t.Helper()
	h.log = &logBuffer{}
	if h.command != nil {
		h.startCommand(h.command(h.settingsFile))
		return
	}
	h.startCommand(exec.Command(os.Args[0]))
}

// startCommand starts a command as the host process, with additional environment variables.
func (h *hostProcess) startCommand(cmd *exec.Cmd, env ...string) {
	h.t.Helper()
	h.cmd = cmd
	h.cmd.Env = append(append(os.Environ(), settingsEnv+"="+h.settingsFile), env...)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	assert.NilError(h.t, h.cmd.Start())
	log := h.log
	h.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		text := log.String()
		if h.t.Failed() {
			h.t.Logf("%s:\n%s", h.name, text[max(0, len(text)-1500):])
		}
		assert.Check(h.t, !strings.Contains(text, "DATA RACE"), "%s:\n%s", h.name, text)
	})
}

func (h *hostProcess) signal(s syscall.Signal) {
	h.t.Helper()
	assert.NilError(h.t, h.cmd.Process.Signal(s))
}

// kill sends SIGKILL and waits for the process to exit.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGKILL)
	_ = h.cmd.Wait()
}

// waitForExit waits until the process has exited after a graceful shutdown and checks
// that it succeeded.
func (h *hostProcess) waitForExit() { assert.NilError(h.t, h.cmd.Wait()) }

func (h *hostProcess) client() *client.Client { return client.New(h.callerURL, &http.Transport{}) }

// status returns a host's status report: its own entry and those of all hosts.
func (h *hostProcess) status() (own operator.Status, all []operator.Status, err error) {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(h.operatorURL + "/hosts")
	if err != nil {
		return own, nil, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return own, nil, err
	}
	for _, s := range all {
		if s.Address == h.peerProxy.Address() {
			own = s
		}
	}
	return own, all, nil
}

// waitForConvergence waits until all hosts know each other and all servers.
func (f *fleet) waitForConvergence() {
	f.t.Helper()
	for _, h := range f.hosts {
		eventually(f.t, h.name+" knows all hosts and servers", func() bool {
			own, all, err := h.status()
			return err == nil && len(all) == len(f.hosts) && own.UsableServers == len(f.servers)
		})
	}
}

// eventually polls until a condition holds and fails the test after testTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(testTimeout))
}

// job returns a job whose tasks run for runMillis each. Field n of a task's body is
// its index, so that checkAnswers can match answers to tasks.
func job(tasks, runMillis int) client.Job {
	j := client.Job{Service: service}
	for i := range tasks {
		j.Tasks = append(j.Tasks, client.Task{Body: fmt.Appendf(nil, `{"run":%d,"n":%d}`, runMillis, i)})
	}
	return j
}

// checkAnswers checks that a job is complete and that each answer belongs to its task.
func checkAnswers(t *testing.T, o client.Outcome, tasks int) {
	t.Helper()
	assert.Assert(t, o.Complete(), "outcome %+v", o)
	assert.Equal(t, len(o.Answers), tasks)
	for i, raw := range o.Answers {
		var a struct {
			Body struct{ N int }
		}
		assert.NilError(t, json.Unmarshal(raw, &a))
		assert.Equal(t, a.Body.N, i)
	}
}

// countStarts returns how many tasks started and how many of them more than once.
func (f *fleet) countStarts() (total, repeated int) {
	counts := map[string]int{}
	for _, s := range f.servers {
		for name, n := range s.Starts().ByTask {
			counts[name] += n
		}
	}
	for _, n := range counts {
		total += n
		if n > 1 {
			repeated++
		}
	}
	return total, repeated
}

// testContext returns a context that expires after testTimeout.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// getStatus sends a GET request and returns the response's status code.
func getStatus(url string) (int, error) {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// containsMessage reports whether a log has a line with the given message.
func containsMessage(log, message string) bool {
	return strings.Contains(log, fmt.Sprintf("%q:%q", "msg", message))
}
