package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Fault is what happens to connections from one source.
type Fault struct {
	Refuse    bool          // close at once, as a host does that isn't there
	HoldOut   bool          // swallow what the source sends
	HoldBack  bool          // swallow what is sent to the source
	Delay     time.Duration // added to everything, each way
	ResetPast int           // reset after this many bytes to the source; 0 for never
}

// Cut is a fault that swallows everything both ways, like a partition.
func Cut() Fault {
	return Fault{
		HoldOut:  true,
		HoldBack: true,
	}
}

// Any stands for all sources without a fault of their own.
const Any = ""

// Proxy forwards connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	faults map[string]Fault
	conns  map[net.Conn]string // source by connection
}

// Listen opens a proxy; target may be changed later.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for proxy")
	}
	p := &Proxy{
		target:   target,
		listener: listener,
		faults:   map[string]Fault{},
		conns:    map[net.Conn]string{},
	}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set sets the fault for a source; connections that are open feel it too.
func (p *Proxy) Set(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
}

// Heal removes the fault for a source and ends its connections: what was
// swallowed is gone, and a real network would have reset them by then.
func (p *Proxy) Heal(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.faults, source)
	for conn, from := range p.conns {
		if source == Any || from == source {
			_ = conn.Close()
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Heal(Any)
}

func (p *Proxy) fault(source string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[source]; ok {
		return f
	}
	return p.faults[Any]
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
	if p.fault(source).Refuse {
		reset(conn)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(conn)
		return
	}
	defer target.Close()
	p.track(conn, source)
	defer p.untrack(conn)
	done := make(chan struct{}, 2)
	go func() {
		p.copy(target, conn, func() bool { return p.fault(source).HoldOut }, source, false)
		done <- struct{}{}
	}()
	go func() {
		p.copy(conn, target, func() bool { return p.fault(source).HoldBack }, source, true)
		done <- struct{}{}
	}()
	<-done
}

func (p *Proxy) track(conn net.Conn, source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = source
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// copyBytes is the size of one read.
const copyBytes = 16 << 10

func (p *Proxy) copy(to, from net.Conn, held func() bool, source string, back bool) {
	buffer := make([]byte, copyBytes)
	passed := 0
	for {
		n, err := from.Read(buffer)
		if n > 0 && !held() {
			f := p.fault(source)
			time.Sleep(f.Delay)
			if back && f.ResetPast > 0 && passed+n > f.ResetPast {
				_, _ = to.Write(buffer[:max(0, f.ResetPast-passed)])
				reset(to)
				return
			}
			passed += n
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes a connection so that the other side sees a reset, not an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
