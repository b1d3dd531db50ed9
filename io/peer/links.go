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

	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

const path = "/peer"

// Links is this host's links to other hosts, by peer address.
type Links struct {
	dial     time.Duration
	http     *http.Client
	silence  time.Duration
	counters *telemetry.Counters
	log      logr.Logger

	mu    sync.Mutex
	slots map[string]*slot
}

// slot is one address; its lock keeps two dials from racing.
type slot struct {
	mu     sync.Mutex
	link   *link
	failed time.Time // when the last dial failed
	err    error     // why
}

// New returns an empty set of links; the dialer's timeout bounds a handshake too.
func New(dialer *net.Dialer, silence time.Duration, counters *telemetry.Counters, log logr.Logger) *Links {
	return &Links{
		dial:     dialer.Timeout,
		http:     &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		silence:  silence,
		counters: counters,
		log:      log.WithName("peer"),
		slots:    map[string]*slot{},
	}
}

// dialContext replaces how connections are made.
func (l *Links) dialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	l.http = &http.Client{Transport: &http.Transport{DialContext: dial}}
}

func (l *Links) slot(address string) *slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.slots[address]
	if s == nil {
		s = &slot{}
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
	if s.failed.After(began) {
		// The dial that this call waited for failed; each waiter trying again
		// would hold up the next.
		return nil, s.err
	}
	ctx, cancel := context.WithTimeout(ctx, l.dial)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{HTTPClient: l.http})
	if err != nil {
		s.failed, s.err = time.Now(), errors.WithType(err, ErrNoLink)
		return nil, s.err
	}
	s.link = newLink(conn, l.silence, l.counters)
	go s.link.read(s.link.deliver)
	go s.link.watch()
	return s.link, nil
}

func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed
}

// Call sends a frame to a host and waits for its answer; it returns ErrNoLink
// when nothing was sent, and ErrBroken when that can't be known.
func (l *Links) Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error) {
	link, err := l.link(ctx, address)
	if err != nil {
		return wire.Frame{}, err
	}
	return link.call(ctx, f)
}

// Send sends a frame that needs no answer.
func (l *Links) Send(ctx context.Context, address string, f wire.Frame) error {
	link, err := l.link(ctx, address)
	if err != nil {
		return err
	}
	return link.write(f)
}

// Close ends all links.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.slots {
		s.mu.Lock()
		if s.link != nil {
			s.link.close()
		}
		s.mu.Unlock()
	}
}
