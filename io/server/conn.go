package server

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rosemarywalk/io/clock"
)

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// rawConn returns the connection of a request, nil if it isn't one of the operating system.
func rawConn(ctx context.Context) syscall.RawConn {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// longestTick is the longest timer tick of a kernel, by which its TCP times are coarse.
const longestTick = 10 * time.Millisecond

// Arrived returns when the latest bytes of a request's connection reached the operating
// system, on the clock of package clock. A process that was paused or starved reads them
// later. It is the present if they were read within a timer tick, or the operating system
// doesn't know, and otherwise never too late for these bytes, apart from suspensions of the
// machine. A handler calls it first: bytes of the body or of a next request that have
// followed the header count too, and make it too late for the request.
func Arrived(ctx context.Context) time.Time {
	arrived := clock.Now()
	raw := rawConn(ctx)
	if raw == nil {
		return arrived
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Last_data_recv > 0 {
			arrived = arrived.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - longestTick)
		}
	})
	return arrived
}

// PeerOpen reports whether the peer of a request's connection has not closed it, as far as
// the operating system knows. The request's context ends only when a goroutine has read
// the end of the connection, which a process that was paused may not have done yet, and
// which none does while unread bytes are ahead of it.
func PeerOpen(ctx context.Context) bool {
	raw := rawConn(ctx)
	if raw == nil {
		return true
	}
	open := false
	err := raw.Control(func(fd uintptr) { open = isOpen(int(fd)) })
	return open && err == nil
}

func isOpen(fd int) bool {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(fd, buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch err {
	case nil:
		return n > 0 && !closedBehindUnread(fd)
	case unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.ENOTCONN, unix.EBADF:
		return false
	}
	return true
}

// closedBehindUnread reports whether the peer of a connection with unread bytes has closed
// it.
func closedBehindUnread(fd int) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{
		Fd:     int32(fd),
		Events: unix.POLLRDHUP,
	}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&closed != 0
}
