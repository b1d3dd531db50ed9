package proof

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/platform/standin"
	"rosemarywalk/platform/wire"
)

// The machine of a host that meets a crowd, and the crowd.
const (
	crowdMemory      = 96 // MB
	crowdDescriptors = 400
	crowdOpen        = 300 // descriptors that may be open: the host's own links need the others
	crowdBody        = 262_144
	crowdHead        = 16_384
	crowdEndless     = 1 << 20 // bytes that are sent of what has no end
	crowdClients     = 300
	crowdIdle        = 500              // connections that send nothing
	crowdSending     = 30 * time.Second // for which the crowd sends at most
	crowdHold        = 2 * time.Second  // for which its connections then stay open
)

// crowdBodyOf returns a legal job whose body has the greatest size allowed.
func crowdBodyOf(job string) []byte {
	return append([]byte(job), bytes.Repeat([]byte(" "), crowdBody-len(job))...)
}

// sendFunc sends what one client of a crowd sends. The client then stays connected.
type sendFunc func(w io.Writer, client int, request string, body []byte)

// pieces writes bytes in pieces of a size until the connection is closed.
func pieces(w io.Writer, raw []byte, size int) {
	for len(raw) > 0 {
		n := min(size, len(raw))
		if _, err := w.Write(raw[:n]); err != nil {
			return
		}
		raw = raw[n:]
	}
}

// shortOf returns how many bytes a client sends of n: nine in ten stop one short of the end.
func shortOf(client, n int) int {
	if client%10 == 0 {
		return n
	}
	return n - 1
}

func withLength(size int) sendFunc {
	return func(w io.Writer, client int, request string, body []byte) {
		_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", request, len(body))
		pieces(w, body[:shortOf(client, len(body))], size)
	}
}

func inChunks(chunk, size int) sendFunc {
	var encode sync.Once
	var whole, short []byte // the same for all clients
	return func(w io.Writer, client int, request string, body []byte) {
		encode.Do(func() {
			whole = append(chunked(body, chunk), "0\r\n\r\n"...)
			short = chunked(body[:len(body)-1], chunk)
		})
		_, _ = fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", request)
		raw := short
		if shortOf(client, len(body)) == len(body) {
			raw = whole
		}
		pieces(w, raw, size)
	}
}

// chunked returns a body in chunks of a size, without the last, empty one.
func chunked(body []byte, size int) []byte {
	var raw bytes.Buffer
	for chunk := range slices.Chunk(body, size) {
		_, _ = fmt.Fprintf(&raw, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return raw.Bytes()
}

// repeated sends a beginning and then a text over and over, up to a number of bytes.
func repeated(begin bool, text string, n int) sendFunc {
	return func(w io.Writer, _ int, request string, _ []byte) {
		if begin {
			_, _ = io.WriteString(w, request)
		}
		pieces(w, bytes.Repeat([]byte(text), n/len(text)), 4096)
	}
}

// crowd is a kind of crowd.
type crowd struct {
	name    string
	clients int
	send    sendFunc
}

func headCrowds() []crowd {
	return []crowd{
		{
			name:    "heads over the limit",
			clients: crowdClients,
			send:    repeated(true, "Long: "+strings.Repeat("x", 1000)+"\r\n", 4*crowdHead),
		},
		{
			name:    "heads without end",
			clients: crowdClients,
			send:    repeated(true, "Long: "+strings.Repeat("x", 1000)+"\r\n", crowdEndless),
		},
		{
			name:    "heads of one line without end",
			clients: crowdClients,
			send:    repeated(true, "x", crowdEndless),
		},
		{
			name:    "empty lines without end",
			clients: crowdClients,
			send:    repeated(false, "\r\n", crowdEndless),
		},
		{
			name:    "idle connections",
			clients: crowdIdle,
			send:    func(io.Writer, int, string, []byte) {},
		},
	}
}

func bodyCrowds() []crowd {
	const piece = 8 << 10
	return []crowd{
		{
			name:    "bodies at once",
			clients: crowdClients,
			send:    withLength(crowdBody),
		},
		{
			name:    "bodies piece by piece",
			clients: crowdClients,
			send:    withLength(piece),
		},
		{
			name:    "small bodies",
			clients: crowdClients,
			send: func(w io.Writer, client int, request string, body []byte) {
				withLength(piece)(w, client, request, bytes.TrimRight(body, " "))
			},
		},
		{
			name:    "large chunks at once",
			clients: crowdClients,
			send:    inChunks(32<<10, 2*crowdBody),
		},
		{
			name:    "large chunks piece by piece",
			clients: crowdClients,
			send:    inChunks(32<<10, piece),
		},
		{
			name:    "chunks of one byte at once",
			clients: crowdClients,
			send:    inChunks(1, 8*crowdBody),
		},
		{
			name:    "chunks of one byte piece by piece",
			clients: crowdClients,
			send:    inChunks(1, piece),
		},
	}
}

// crowdTarget is a host that a crowd meets.
type crowdTarget struct {
	*hostProcess

	listeners map[string]string // addresses by name
	request   func(client int) string
	job       string
	ordinary  func() error // sends one ordinary request
}

// crowdHost is the settings of a host's machine.
var crowdHost = fmt.Sprintf("[memory]\nhost = %d", crowdMemory)

// buildProgram returns the path of the host's program, without the race detector's memory.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rosemarywalk")
	out, err := exec.Command("go", "build", "-o", program, "rosemarywalk/cmd/rosemarywalk").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// limitedCommand returns the command that runs a host with few descriptors.
func limitedCommand(program, edition, settings string) *exec.Cmd {
	return exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s serve --edition %s --settings %s", crowdDescriptors, program, edition, settings))
}

func platformTarget(t *testing.T, program string) crowdTarget {
	s := &platformFleet{
		wrapAddress:  func(address string) string { return address },
		longTimeouts: true,
		neverLate:    true,
		limits: wire.Limits{
			MaxBodyBytes:    crowdBody,
			MaxHeaderBytes:  crowdHead,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
		},
		command:       func(settings string) *exec.Cmd { return limitedCommand(program, "platform", settings) },
		extraSettings: crowdHost,
	}
	s.start(t, 1, 2, standin.Behavior{
		RunTime: 30 * time.Millisecond,
		Slots:   4,
	})
	h := s.hosts[0]
	h.transport = &http.Transport{DisableKeepAlives: true}
	ordinary := 0
	return crowdTarget{
		hostProcess: h.hostProcess,
		listeners: map[string]string{
			"callers":   strings.TrimPrefix(h.entryURL, "http://"),
			"readiness": strings.TrimPrefix(h.readinessURL, "http://"),
			"metrics":   h.metricsAddress,
			"peer":      h.peerAddress,
		},
		request: func(client int) string {
			return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n", routePrefix, 1_000_000+client, virtualHost)
		},
		job: jobBody(1),
		ordinary: func() error {
			ordinary++
			status, answer, err := h.call(http.MethodPost, fmt.Sprintf("%s%016x", routePrefix, ordinary), jobBody(3))
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d: %s", status, answer)
			}
			return err
		},
	}
}

func standaloneTarget(t *testing.T, program string) crowdTarget {
	f := newFleet(t, fleetOptions{
		hosts:          1,
		servers:        2,
		slots:          4,
		extraSettings:  crowdHost,
		callerSettings: fmt.Sprintf("body = %d", crowdBody),
		command:        func(settings string) *exec.Cmd { return limitedCommand(program, "standalone", settings) },
	})
	h := f.hosts[0]
	return crowdTarget{
		hostProcess: h,
		listeners: map[string]string{
			"callers":  strings.TrimPrefix(h.callerURL, "http://"),
			"operator": strings.TrimPrefix(h.operatorURL, "http://"),
			"peer":     net.JoinHostPort(h.ip, "7100"),
		},
		request: func(client int) string {
			return fmt.Sprintf("POST /jobs HTTP/1.1\r\nHost: test\r\nIdempotency-Key: crowd-%d\r\n", client)
		},
		job: `{"service":"` + service + `","tasks":[{"body":{"run":30}}]}`,
		ordinary: func() error {
			c := h.client()
			ticket, err := c.Ticket(testContext(t))
			if err != nil {
				return err
			}
			outcome, err := c.Submit(testContext(t), ticket, job(3, 30))
			if err == nil && !outcome.Complete() {
				err = fmt.Errorf("outcome %+v", outcome)
			}
			return err
		},
	}
}

// TestCrowd guards against hosts that run out of memory or descriptors, or stop answering,
// because of clients that keep to no limit: many large bodies, most of which stop just short
// of their end, heads over the limit or without end, empty lines without end, and idle
// connections.
func TestCrowd(t *testing.T) {
	program := buildProgram(t)
	targets := []struct {
		edition string
		start   func(*testing.T, string) crowdTarget
		others  []string // listeners beside the callers'
	}{
		{
			edition: "platform",
			start:   platformTarget,
			others:  []string{"readiness", "metrics", "peer"},
		},
		{
			edition: "standalone",
			start:   standaloneTarget,
			others:  []string{"operator", "peer"},
		},
	}
	for _, target := range targets {
		for _, c := range append(bodyCrowds(), headCrowds()...) {
			t.Run(target.edition+" callers "+c.name, func(t *testing.T) {
				target.start(t, program).meet(t, "callers", c)
			})
		}
		for _, listener := range target.others {
			for _, c := range headCrowds() {
				t.Run(target.edition+" "+listener+" "+c.name, func(t *testing.T) {
					target.start(t, program).meet(t, listener, c)
				})
			}
		}
	}
}

// meet lets a crowd call a listener, and checks the host while its connections are open and
// after they are closed.
func (h crowdTarget) meet(t *testing.T, listener string, c crowd) {
	assert.NilError(t, h.ordinary())
	address := h.listeners[listener]
	var sending sync.WaitGroup
	var open atomic.Int64
	conns := make([]net.Conn, c.clients)
	body := crowdBodyOf(h.job)
	for i := range conns {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdSending)
			if err != nil {
				return
			}
			open.Add(1)
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(crowdSending))
			buffered := bufio.NewWriterSize(conn, 64<<10)
			c.send(flushing{buffered}, i, h.request(i), body)
		})
	}
	sending.Wait()
	time.Sleep(crowdHold)
	h.checkBounds(t, address)
	assert.Check(t, h.ordinary(), "an ordinary request beside the crowd")
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	assert.Check(t, h.ordinary(), "an ordinary request after the crowd")
	h.checkBounds(t, address)
	t.Logf("%d connections made; peak of resident memory %d kB", open.Load(), h.peakMemory(t))
}

// flushing writes each piece at once.
type flushing struct{ *bufio.Writer }

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err == nil {
		err = f.Flush()
	}
	return n, err
}

// checkBounds checks that the process lives, and that its memory, with what its listener's
// connections have received and it hasn't read, and its descriptors are within the bounds.
func (h crowdTarget) checkBounds(t *testing.T, address string) {
	t.Helper()
	peak := h.peakMemory(t)
	unread := unreadBytes(t, address) / 1024
	assert.Check(t, peak+unread < crowdMemory*1024, "peak of resident memory %d kB and %d kB unread, machine %d MB", peak, unread, crowdMemory)
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	assert.Check(t, err)
	assert.Check(t, len(entries) < crowdOpen, "%d open descriptors", len(entries))
}

// peakMemory returns the highest resident memory of the process in kB; the test fails if it
// doesn't run.
func (h crowdTarget) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			peak, err := strconv.Atoi(fields[1])
			assert.NilError(t, err)
			return peak
		}
	}
	t.Fatalf("the process has ended")
	return 0
}

// unreadBytes returns the number of bytes that the connections of a listener have received
// and the process has not read.
func unreadBytes(t *testing.T, address string) int {
	t.Helper()
	host, portText, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	port, err := strconv.Atoi(portText)
	assert.NilError(t, err)
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	unread := 0
	for line := range strings.Lines(string(table)) {
		const listening = "0A"
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		assert.NilError(t, err)
		unread += int(n)
	}
	return unread
}
