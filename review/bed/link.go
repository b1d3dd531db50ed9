package bed

import (
	"net"
	"sync"
)

// Link forwards TCP connections to one address. While it is held it delivers nothing, like a
// network that is partitioned; what was sent meanwhile arrives when it is released.
type Link struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	released *sync.Cond
	held     map[string]bool // by the IP address that connections come from; "" for all
}

// NewLink starts a link on an address.
func (b *Bed) NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{
		target:   target,
		listener: listener,
		held:     map[string]bool{},
	}
	l.released = sync.NewCond(&l.mu)
	b.closers = append(b.closers, func() { _ = listener.Close() })
	go l.accept()
	return l, nil
}

// Address returns the address to connect to.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Hold holds the connections from an IP address, or all if it is empty.
func (l *Link) Hold(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[source] = true
}

// Release delivers what was held.
func (l *Link) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.held)
	l.released.Broadcast()
}

// wait returns once connections from an address aren't held.
func (l *Link) wait(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held[""] || l.held[source] {
		l.released.Wait()
	}
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	l.wait(source)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	target, err := dialer.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, target}, {target, conn}} {
		go func() {
			l.forward(pair[0], pair[1], source)
			done <- struct{}{}
		}()
	}
	<-done
}

func (l *Link) forward(from, to net.Conn, source string) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.wait(source)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
