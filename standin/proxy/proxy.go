package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Fault describes the network fault for connections from one source IP address.
type Fault struct {
	Refuse    bool          // reset new connections at once, as if nothing listened
	HoldOut   bool          // discard data from the source
	HoldBack  bool          // discard data to the source
	Delay     time.Duration // added to each chunk of data, in both directions
	ResetPast int           // reset the connection after this many bytes to the source; 0 for never
}

// Partition returns a fault that discards data in both directions, like a network
// partition.
func Partition() Fault {
	return Fault{
		HoldOut:  true,
		HoldBack: true,
	}
}

// AnySource is the source whose fault applies to all sources without one of their own.
const AnySource = ""

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	faults  map[string]Fault
	sources map[net.Conn]string // source IP address of each open connection
}

// Listen starts a proxy on address that forwards connections to target.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for proxy")
	}
	p := &Proxy{
		target:   target,
		listener: listener,
		faults:   map[string]Fault{},
		sources:  map[net.Conn]string{},
	}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault for a source. Except for Refuse, it applies to open
// connections too.
func (p *Proxy) SetFault(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
}

// ClearFault removes the fault for a source and closes its connections: discarded data
// can't be delivered any more, and a real network would have reset the
// connections by then. For Any it closes all connections.
func (p *Proxy) ClearFault(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.faults, source)
	for conn, from := range p.sources {
		if source == AnySource || from == source {
			_ = conn.Close()
		}
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ClearFault(AnySource)
}

func (p *Proxy) faultFor(source string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[source]; ok {
		return f
	}
	return p.faults[AnySource]
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	defer conn.Close()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	if p.faultFor(source).Refuse {
		reset(conn)
		return
	}
	target, err := dialFrom(source, p.target)
	if err != nil {
		reset(conn)
		return
	}
	defer target.Close()
	p.track(conn, source)
	defer p.untrack(conn)
	done := make(chan struct{}, 2)
	go func() {
		p.forward(target, conn, func() bool { return p.faultFor(source).HoldOut }, source, false)
		done <- struct{}{}
	}()
	go func() {
		p.forward(conn, target, func() bool { return p.faultFor(source).HoldBack }, source, true)
		done <- struct{}{}
	}()
	<-done
}

// dialFrom connects to a target from the source's own IP address if it is a loopback
// address, so that the target can distinguish sources, too.
func dialFrom(source, target string) (net.Conn, error) {
	var dialer net.Dialer
	if ip := net.ParseIP(source); ip != nil && ip.IsLoopback() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.Dial("tcp", target)
}

func (p *Proxy) track(conn net.Conn, source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[conn] = source
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sources, conn)
}

// copyBufferBytes is the size of the read buffer of each direction.
const copyBufferBytes = 16 << 10

// forward copies data from src to dst under the source's fault, until either side
// closes or the fault resets the connection.
func (p *Proxy) forward(dst, src net.Conn, dropping func() bool, source string, toSource bool) {
	buffer := make([]byte, copyBufferBytes)
	forwarded := 0
	for {
		n, err := src.Read(buffer)
		if n > 0 && !dropping() {
			f := p.faultFor(source)
			time.Sleep(f.Delay)
			if toSource && f.ResetPast > 0 && forwarded+n > f.ResetPast {
				_, _ = dst.Write(buffer[:max(0, f.ResetPast-forwarded)])
				reset(dst)
				return
			}
			forwarded += n
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
