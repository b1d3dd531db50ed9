package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/io/late"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

const peerPath = "/peer"

// probesHeader is set by hosts that answer probes.
const probesHeader = "Rosemarywalk-Probes"

// Links holds this host's outgoing links, by peer address.
type Links struct {
	dialTimeout time.Duration
	httpClient  *http.Client
	pingTimeout time.Duration
	meter       *late.Meter
	counters    *telemetry.Counters
	log         logr.Logger

	mu    sync.Mutex
	slots map[string]*peerSlot
}

// peerSlot holds the link to one address. Its lock serializes dialing.
type peerSlot struct {
	mu       sync.Mutex
	link     *link
	failedAt time.Time // when the last dial failed
	dialErr  error     // of the last failed dial

	// Restarts the dial in progress, if there is one. Guarded by the lock of Links, as
	// the other one is held while dialing.
	restartDial context.CancelCauseFunc
}

// errReachable is the cause of a canceled dial that is restarted.
const errReachable = errors.ConstError("peer is reachable")

// New returns an empty set of links. The dialer's timeout also bounds the WebSocket
// handshake. Both timeouts are extended by this host's own delay.
func New(dialer *net.Dialer, pingTimeout time.Duration, meter *late.Meter, counters *telemetry.Counters, log logr.Logger) *Links {
	timeout, untimed := dialer.Timeout, *dialer
	untimed.Timeout = 0
	l := &Links{
		dialTimeout: timeout,
		pingTimeout: pingTimeout,
		meter:       meter,
		counters:    counters,
		log:         log.WithName("peer"),
		slots:       map[string]*peerSlot{},
	}
	l.dialContext(untimed.DialContext)
	return l
}

// dialContext sets the function that opens connections.
func (l *Links) dialContext(dial late.Dial) {
	l.httpClient = &http.Client{Transport: &http.Transport{DialContext: l.meter.WithDialTimeout(dial, l.dialTimeout)}}
}

func (l *Links) slot(address string) *peerSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slots[address]
	if s == nil {
		s = &peerSlot{}
		l.slots[address] = s
	}
	return s
}

func (l *Links) link(ctx context.Context, address string) (*link, error) {
	s := l.slot(address)
	began := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil && s.link.open() {
		return s.link, nil
	}
	if s.failedAt.After(began) {
		// The dial that this call waited for has failed. If every waiter dialed
		// again, each would delay the next.
		return nil, s.dialErr
	}
	conn, err := l.dial(ctx, s, address)
	for errors.Is(err, errReachable) {
		conn, err = l.dial(ctx, s, address)
	}
	if err != nil {
		s.failedAt, s.dialErr = time.Now(), errors.WithType(err, ErrNoLink)
		return nil, s.dialErr
	}
	s.link = newLink(conn, address, l.pingTimeout, l.meter, l.counters, l.log)
	go s.link.read(s.link.deliver)
	go s.link.keepAlive()
	return s.link, nil
}

// dial opens a connection to an address. It returns errReachable if Reachable was called
// meanwhile. The caller holds s.mu.
func (l *Links) dial(ctx context.Context, s *peerSlot, address string) (*websocket.Conn, error) {
	ctx, cancel := l.meter.WithTimeout(ctx, 0, l.dialTimeout)
	defer cancel()
	ctx, restart := context.WithCancelCause(ctx)
	defer restart(nil)
	l.setRestart(s, restart)
	defer l.setRestart(s, nil)
	conn, _, err := websocket.Dial(ctx, "ws://"+address+peerPath, &websocket.DialOptions{
		HTTPClient: l.httpClient,
		HTTPHeader: http.Header{probesHeader: {"1"}},
	})
	if err != nil && errors.Is(context.Cause(ctx), errReachable) {
		return nil, errReachable
	}
	return conn, err
}

func (l *Links) setRestart(s *peerSlot, restart context.CancelCauseFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.restartDial = restart
}

// Reachable reports that the host at an address has just been heard from. A dial in
// progress is restarted: packets that were sent before the host was up are lost, and a
// lost opening packet is repeated only after a second.
func (l *Links) Reachable(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.slots[address]; s != nil && s.restartDial != nil {
		s.restartDial(errReachable)
	}
}

func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed
}

// Call sends a frame to a host and waits for its answer. It returns ErrNoLink when
// nothing was sent, and ErrLinkClosed when the peer may have received the frame.
func (l *Links) Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error) {
	link, err := l.link(ctx, address)
	if err != nil {
		return wire.Frame{}, err
	}
	return link.call(ctx, f)
}

// Send sends a frame that expects no answer.
func (l *Links) Send(ctx context.Context, address string, f wire.Frame) error {
	link, err := l.link(ctx, address)
	if err != nil {
		return err
	}
	return link.write(f)
}

// Close closes all links and ends the dials in progress.
func (l *Links) Close() {
	// A dial holds the lock of its slot and needs the lock of Links, so the locks of the
	// slots are taken without the latter.
	for _, s := range l.endDials() {
		s.close()
	}
}

// endDials cancels the dials in progress and returns all slots.
func (l *Links) endDials() []*peerSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	var slots []*peerSlot
	for _, s := range l.slots {
		slots = append(slots, s)
		if s.restartDial != nil {
			s.restartDial(nil)
		}
	}
	return slots
}

func (s *peerSlot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != nil {
		s.link.close(closedByShutdown)
	}
}
