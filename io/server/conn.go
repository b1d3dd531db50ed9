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
// the end of the connection, which a process that was paused may not have done yet.
func PeerOpen(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var readErr error
	controlErr := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, readErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch readErr {
	case nil:
		return controlErr == nil && n > 0
	case unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.ENOTCONN, unix.EBADF:
		return false
	}
	return true
}
