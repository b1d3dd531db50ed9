package server

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// PeerOpen reports whether the peer of a request's connection has not closed it, as far as
// the operating system knows. The request's context ends only when a goroutine has read
// the end of the connection, which a process that was paused may not have done yet, and
// which none does while unread bytes are ahead of it.
func PeerOpen(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	controlErr := raw.Control(func(fd uintptr) { open = isOpen(int(fd)) })
	return open && controlErr == nil
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
