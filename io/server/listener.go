package server

import (
	"context"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// listener is a TCP listener that can be stopped without a reset of connections that the
// operating system has already accepted.
type listener struct {
	*net.TCPListener
	guard *Guard
}

func listen(address string, guard *Guard) (listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets can't have a filter
	if guard.smallBuffers {
		config.Control = limitBuffer
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return listener{}, err
	}
	return listener{
		TCPListener: l.(*net.TCPListener),
		guard:       guard,
	}, nil
}

// limitBuffer limits the unread bytes of the connections that a listening socket accepts.
func limitBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without it the operating system's own limit holds.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
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
			c := newConn(tcp, l.guard)
			if l.guard.open(c) {
				return c, nil
			}
			_ = tcp.Close()
			continue
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
