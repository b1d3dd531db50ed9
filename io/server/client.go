package server

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"rosemarywalk/core/intake"
)

// conn is a client's connection. It counts the bytes that have arrived and those of answered
// requests, and applies the limits of its listener. Its own deadlines take the place of those
// of http.Server, which can't change while it serves.
type conn struct {
	*net.TCPConn
	guard    *Guard
	address  string              // of the client, without its port
	counted  func(fd int) uint64 // bytes that the operating system has received, 0 if it doesn't count them
	read     atomic.Uint64       // bytes that the server has read
	answered atomic.Uint64       // those of them that belong to requests that it has answered

	serving     atomic.Bool // a handler runs
	hijacked    atomic.Bool // the connection is no longer one of HTTP
	interrupted atomic.Bool // its reading was ended, to free what it holds
	refused     atomic.Bool // it gets a response that says so

	deadlines sync.Mutex

	// These are used by the goroutine that serves the connection.
	since time.Time    // of the wait for a request, or of the first byte of its header
	head  atomic.Int64 // bytes of the header that have been read
	body  int          // bytes taken for the request's body

	complete bool // the request's body has been read
}

func newConn(tcp *net.TCPConn, guard *Guard) *conn {
	address, _, err := net.SplitHostPort(tcp.RemoteAddr().String())
	if err != nil {
		address = tcp.RemoteAddr().String()
	}
	return &conn{
		TCPConn: tcp,
		guard:   guard,
		address: address,
		counted: bytesReceived,
		since:   time.Now(),
	}
}

// ConnectionCost is the memory of a connection with an ordinary request, in bytes: for the
// goroutine and the buffers of the process, and unread bytes in those of the operating system.
const ConnectionCost = 48 << 10

// receiveBuffer limits the unread bytes of a connection in the operating system, which takes
// twice as much memory.
const receiveBuffer = 16 << 10

const (
	// headCost is the memory that a parsed header takes for each byte received, for a header
	// of many short fields.
	headCost = 8
	// headAllowance is that part of it which counts as the cost of the connection.
	headAllowance = ConnectionCost
	// arrivedGrace is the time to read bytes that had arrived when a deadline passed, as a
	// process that was paused reads them late.
	arrivedGrace = time.Second
	// lingerTime is how long a refused connection stays open, as closing it with unread bytes
	// may destroy the response.
	lingerTime = 500 * time.Millisecond
	// maxLingering limits the connections of a listener that stay open so.
	maxLingering = 64
	// maxHeadBytes is the limit of http.Server, above those of Limits.
	maxHeadBytes = 16 << 20
)

// errHead ends the reading of a header. http.Server closes the connection without a response.
var errHead = &net.OpError{
	Op:  "read",
	Err: errors.New("limit reached"),
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// phase returns what the connection does.
func (c *conn) phase() intake.Phase {
	switch {
	case c.serving.Load():
		return intake.Serving
	case c.head.Load() > 0:
		return intake.Reading
	}
	return intake.Waiting
}

// serve begins the handling of a request.
func (c *conn) serve() {
	c.serving.Store(true)
	_ = c.SetReadDeadline(time.Time{})
}

// wait begins the wait for the next request.
func (c *conn) wait(now time.Time) {
	c.since = now
	c.head.Store(0)
	c.body = 0
	c.serving.Store(false)
}

// interrupt ends the reading of the connection.
func (c *conn) interrupt() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.interrupted.Store(true)
	_ = c.TCPConn.SetReadDeadline(past)
}

// SetReadDeadline sets the deadline of reads, which stays in the past after an interruption.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.interrupted.Load() && !c.hijacked.Load() {
		t = past
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close closes the connection, after a while if its client was refused.
func (c *conn) Close() error {
	if c.hijacked.Load() {
		// http.Server doesn't report the end of a connection that it has handed over.
		c.guard.release(c)
	}
	if !c.refused.Load() || !c.guard.linger(1) {
		return c.TCPConn.Close()
	}
	if err := c.TCPConn.CloseWrite(); err != nil {
		c.guard.linger(-1)
		return c.TCPConn.Close()
	}
	time.AfterFunc(lingerTime, func() {
		c.guard.linger(-1)
		_ = c.TCPConn.Close()
	})
	return nil
}

// Read reads from the connection.
func (c *conn) Read(buffer []byte) (int, error) {
	switch {
	case c.hijacked.Load():
		return c.readCounted(buffer)
	case !c.serving.Load():
		return c.readHead(buffer)
	case len(buffer) == 1:
		// http.Server waits so for the client to leave, and ends that by a deadline.
		return c.readCounted(buffer)
	}
	n, err := c.readBefore(buffer, c.guard.limits().BodyTimeout, time.Now(), causeBodyTimeout)
	_ = c.SetReadDeadline(time.Time{})
	return n, err
}

// readHead reads bytes of a header, or waits for the first.
func (c *conn) readHead(buffer []byte) (int, error) {
	limits := c.guard.limits()
	read := int(c.head.Load())
	if read >= limits.HeadBytes {
		c.rejectHead()
		return 0, errHead
	}
	buffer = buffer[:min(len(buffer), limits.HeadBytes-read)]
	timeout, cause := limits.IdleTimeout, causeIdle
	if read > 0 {
		timeout, cause = limits.HeadTimeout, causeHeadTimeout
	}
	n, err := c.readBefore(buffer, timeout, c.since, cause)
	if n == 0 {
		return n, err
	}
	if read == 0 {
		c.since = time.Now()
		c.guard.begin(c, c.since)
	}
	c.head.Add(int64(n))
	if cost := headBytes(read+n) - headBytes(read); cost > 0 && !c.guard.take(c, cost) {
		return 0, errHead
	}
	return n, err
}

// headBytes returns the bytes that a header of n bytes holds of the budget.
func headBytes(n int) int { return max(0, n*headCost-headAllowance) }

// readBefore reads until a time after since.
func (c *conn) readBefore(buffer []byte, timeout time.Duration, since time.Time, cause closeCause) (int, error) {
	deadline := since.Add(timeout)
	for {
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := c.readCounted(buffer)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded) || c.interrupted.Load():
			return n, err
		case c.unread():
			deadline = time.Now().Add(arrivedGrace)
		default:
			c.guard.countClosed(cause, c)
			return n, err
		}
	}
}

func (c *conn) readCounted(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.read.Add(uint64(n))
	return n, err
}

// rejectHead answers a request whose header is over the limit.
func (c *conn) rejectHead() {
	c.guard.countClosed(causeHead, c)
	const response = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nrequest header over the limit\n"
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.TCPConn, response); err == nil {
		c.refused.Store(true)
	}
}

// unread reports whether bytes have arrived that the server has not read.
func (c *conn) unread() bool { return c.received() > c.read.Load() }

// received returns the number of bytes that have arrived, unread ones included, at least as far
// as it shows whether there are any. Bytes that a goroutine has taken from the operating system
// and not yet counted are included if the operating system counts them.
func (c *conn) received() uint64 {
	received, unread := uint64(0), uint64(0)
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			received = c.counted(int(fd))
			unread = peek(int(fd))
		})
	}
	return max(received, c.read.Load()+unread)
}

// bytesReceived returns the number of bytes that the operating system has received on a
// connection, 0 if it doesn't count them.
func bytesReceived(fd int) uint64 {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.Bytes_received
}

// peek returns 1 if a connection has unread bytes, and 0 otherwise.
func peek(fd int) uint64 {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil || n < 0 {
		return 0
	}
	return uint64(n)
}
