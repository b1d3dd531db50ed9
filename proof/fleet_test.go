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
	// patience bounds every wait of a proof. It is far above what any step
	// takes, so it decides nothing but how long a hung proof runs.
	patience = 60 * time.Second
)

var domains = []string{"makati", "quezon", "pasig"}

// options is what a proof's fleet looks like.
type options struct {
	hosts    int
	servers  int
	slots    int
	home     string // scope of homes; "host" when empty
	settings string // more lines for every host's settings
}

// fleet is hosts as processes, with stand-ins in the test's own process.
type fleet struct {
	t        *testing.T
	dir      string
	options  options
	platform *platform.Platform
	store    *proxy.Proxy // in front of the platform
	hosts    []*hostProcess
	servers  []*backend
}

// hostProcess is one host.
type hostProcess struct {
	t        *testing.T
	name     string
	ip       string
	file     string
	link     *proxy.Proxy // in front of the peer address
	caller   string       // base URL
	operator string       // base URL
	cmd      *exec.Cmd
	log      *logFile
}

// backend is one backend server behind its proxy.
type backend struct {
	*server.Server
	id    string
	proxy *proxy.Proxy
}

// logFile collects a process's output.
type logFile struct {
	mu  sync.Mutex
	raw bytes.Buffer
}

func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.raw.Write(p)
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.raw.String()
}

// newFleet starts a fleet and waits until every host knows every server.
func newFleet(t *testing.T, o options) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		dir:      t.TempDir(),
		options:  o,
		platform: platform.New(1),
	}
	f.store = f.serve(f.platform.Router())
	for i := range o.servers {
		f.addServer(i)
	}
	for i := range o.hosts {
		f.addHost(i)
	}
	for _, h := range f.hosts {
		h.start()
	}
	f.settle()
	return f
}

// serve puts a handler behind a proxy.
func (f *fleet) serve(handler http.Handler) *proxy.Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	web := &http.Server{Handler: handler}
	go func() { _ = web.Serve(listener) }()
	f.t.Cleanup(func() { _ = web.Close() })
	return f.proxy(listener.Addr().String())
}

func (f *fleet) proxy(target string) *proxy.Proxy {
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
		proxy:  f.proxy(listener.Addr().String()),
	}
	f.servers = append(f.servers, b)
	f.list(b, "live")
}

// list puts a server on the platform's host list.
func (f *fleet) list(b *backend, state string) {
	f.platform.SetHost(hosts.ListedHost{
		ID:          b.id,
		Address:     b.proxy.Address(),
		Domain:      domains[len(f.servers)%len(domains)],
		Services:    []string{service},
		State:       state,
		Slots:       f.options.slots,
		Connections: 64,
		Cores:       16,
		Memory:      64000,
	})
}

func (f *fleet) addHost(i int) {
	// Each host has an IP number of its own, so that proxies can tell them apart.
	ip := hostIP(i)
	h := &hostProcess{
		t:        f.t,
		name:     fmt.Sprintf("host-%d", i),
		ip:       ip,
		file:     filepath.Join(f.dir, fmt.Sprintf("host-%d.ini", i)),
		caller:   "http://" + net.JoinHostPort(ip, "7000"),
		operator: "http://" + net.JoinHostPort(ip, "7200"),
	}
	peer := net.JoinHostPort(ip, "7100")
	h.link = f.proxy(peer)
	f.hosts = append(f.hosts, h)
	f.write(h, peer, domains[i%len(domains)])
}

// hostIP returns a loopback address for a host of this test process alone.
func hostIP(i int) string {
	const low = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid/low%100, 1+pid%low, 1+i)
}

// write writes a host's settings; every host seeds on the first one.
func (f *fleet) write(h *hostProcess, peer, domain string) {
	text := strings.Join([]string{
		"[host]", "domain = " + domain, "secret = a-secret-for-the-proofs",
		"[log]", "level = info",
		"[caller]", "listen = " + strings.TrimPrefix(h.caller, "http://"),
		"[operator]", "listen = " + strings.TrimPrefix(h.operator, "http://"),
		"[platform]", "url = http://" + f.store.Address(), "poll = 200ms", "timeout = 1s",
		"[member]", "period = 200ms", "dead = 2s",
		"[feed]", "pause = 200ms", "wait = 0s",
		"[peer]", "listen = " + peer, "advertise = " + h.link.Address(),
		"seeds = " + f.hosts[0].link.Address(), "silence = 1s",
		"[fleet]", fmt.Sprintf("hosts = %d", f.options.hosts), "home = " + cmp.Or(f.options.home, "host"),
		f.options.settings,
	}, "\n")
	assert.NilError(f.t, os.WriteFile(h.file, []byte(text), 0o600))
}

func (h *hostProcess) start() {
	h.t.Helper()
	h.log = &logFile{}
	h.run(exec.Command(os.Args[0]))
}

// run starts a command as a host, with more variables.
func (h *hostProcess) run(cmd *exec.Cmd, variables ...string) {
	h.t.Helper()
	h.cmd = cmd
	h.cmd.Env = append(append(os.Environ(), settingsVariable+"="+h.file), variables...)
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

// kill ends the process at once and waits for its end.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGKILL)
	_ = h.cmd.Wait()
}

// stopped waits for the end of a planned stop.
func (h *hostProcess) stopped() { assert.NilError(h.t, h.cmd.Wait()) }

func (h *hostProcess) client() *client.Client { return client.New(h.caller, &http.Transport{}) }

// status returns what a host says of all hosts, its own entry first.
func (h *hostProcess) status() (own operator.Status, all []operator.Status, err error) {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(h.operator + "/hosts")
	if err != nil {
		return own, nil, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return own, nil, err
	}
	for _, s := range all {
		if s.Address == h.link.Address() {
			own = s
		}
	}
	return own, all, nil
}

// settle waits until all hosts know each other and all servers.
func (f *fleet) settle() {
	f.t.Helper()
	for _, h := range f.hosts {
		eventually(f.t, h.name+" knows the fleet", func() bool {
			own, all, err := h.status()
			return err == nil && len(all) == len(f.hosts) && own.Usable == len(f.servers)
		})
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(patience))
}

// job returns a job of n tasks, each told apart by its run time's neighbor.
func job(n, run int) client.Job {
	j := client.Job{Service: service}
	for i := range n {
		j.Tasks = append(j.Tasks, client.Task{Body: fmt.Appendf(nil, `{"run":%d,"n":%d}`, run, i)})
	}
	return j
}

// checkAnswers checks that a job's answers are all there and each its own.
func checkAnswers(t *testing.T, o client.Outcome, n int) {
	t.Helper()
	assert.Assert(t, o.Complete(), "outcome %+v", o)
	assert.Equal(t, len(o.Answers), n)
	for i, raw := range o.Answers {
		var a struct {
			Body struct{ N int }
		}
		assert.NilError(t, json.Unmarshal(raw, &a))
		assert.Equal(t, a.Body.N, i)
	}
}

// starts returns how many tasks started and how many of them more than once.
func (f *fleet) starts() (total, twice int) {
	counts := map[string]int{}
	for _, s := range f.servers {
		for name, n := range s.Starts().Starts {
			counts[name] += n
		}
	}
	for _, n := range counts {
		total += n
		if n > 1 {
			twice++
		}
	}
	return total, twice
}

// background returns a context that ends with the proof's patience.
func background(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// get returns the status of a plain request.
func get(url string) (int, error) {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// containsMessage looks for a log line's message.
func containsMessage(log, message string) bool {
	return strings.Contains(log, fmt.Sprintf("%q:%q", "msg", message))
}
