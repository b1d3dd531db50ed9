package server

import (
	"context"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// listener is a TCP listener that can be stopped without a reset of connections that the
// operating system has already accepted.
type listener struct{ *net.TCPListener }

func listen(address string) (listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets can't have a filter
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return listener{}, err
	}
	return listener{TCPListener: l.(*net.TCPListener)}, nil
}

// refuseNew is a filter of the operating system that drops the packets that open a new
// connection (SYN without ACK). Their senders repeat them, and are refused once the listener
// is closed.
var refuseNew = []unix.SockFilter{
	{ // the flags of the packet
		Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS,
		K:    13,
	},
	{
		Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K,
		K:    0x12,
	},
	{
		Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K,
		K:    0x02,
		Jf:   1,
	},
	{Code: unix.BPF_RET | unix.BPF_K},
	{
		Code: unix.BPF_RET | unix.BPF_K,
		K:    math.MaxUint32,
	},
}

// stop makes Accept return the connections that the operating system has accepted or is
// about to, then close the listener. Without the filter, connections could still come
// before it is closed, which would reset them.
func (l listener) stop() {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
				Len:    uint16(len(refuseNew)),
				Filter: &refuseNew[0],
			})
		})
	}
	_ = l.SetDeadline(time.Now().Add(drainPollInterval))
}

// Accept returns the next connection, or an error once the listener is closed.
func (l listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err == nil {
			return &conn{
				TCPConn: tcp,
				counted: bytesReceived,
			}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !l.waiting() {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		// With a deadline that has passed, AcceptTCP accepts nothing.
		_ = l.SetDeadline(time.Now().Add(drainPollInterval))
	}
}

// waiting reports whether connections wait to be accepted.
func (l listener) waiting() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLIN,
		}}, 0)
	})
	return n > 0 && err == nil
}

// conn is a connection that counts the bytes that have arrived and those of answered requests.
type conn struct {
	*net.TCPConn
	counted  func(fd int) uint64 // bytes that the operating system has received, 0 if it doesn't count them
	read     atomic.Uint64       // bytes that the server has read
	answered atomic.Uint64       // those of them that belong to requests that it has answered
}

// Read reads from the connection.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.read.Add(uint64(n))
	return n, err
}

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
