package peer

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/io/clock"
	"rosemarywalk/io/late"
	"rosemarywalk/io/loop"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// ErrLinkClosed reports that a link closed before the answer arrived. The peer may have
// received the call.
const ErrLinkClosed = errors.ConstError("peer link closed before the answer arrived")

// ErrNoLink reports that no link could be established. The call was not sent.
const ErrNoLink = errors.ConstError("no link to the peer could be established")

const maxFrameBytes = 256 << 20

// link is one WebSocket connection with its pending calls.
type link struct {
	conn           *websocket.Conn
	peer           string // address of the other host
	log            logr.Logger
	pingTimeout    time.Duration
	meter          *late.Meter
	counters       *telemetry.Counters
	now            func() time.Time
	reads          atomic.Int64  // parts of messages that were read
	inFlight       atomic.Int64  // calls from the peer that have no answer yet
	wroteSincePing atomic.Bool   // a frame was written since the last ping
	wake           chan struct{} // wakes keepAlive on an idle link

	mu      sync.Mutex
	next    int
	pending map[int]pendingCall
	closed  bool
	done    chan struct{}

	probeStamp int       // stamp of the last probe received
	probedAt   time.Time // when it was received
}

// pendingCall is a call of this host that has no answer yet.
type pendingCall struct {
	ctx    context.Context // on behalf of the caller
	answer chan wire.Frame
	madeAt time.Time
}

func newLink(conn *websocket.Conn, peer string, pingTimeout time.Duration, meter *late.Meter, counters *telemetry.Counters, log logr.Logger) *link {
	conn.SetReadLimit(maxFrameBytes)
	return &link{
		conn:        conn,
		peer:        peer,
		log:         log,
		pingTimeout: pingTimeout,
		meter:       meter,
		counters:    counters,
		now:         clock.Now,
		pending:     map[int]pendingCall{},
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
}

// wakeKeepAlive wakes keepAlive if it sleeps because the link is idle.
func (l *link) wakeKeepAlive() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// isIdle reports whether the link needs no pings: no call is open, and no frame was
// written since the last ping.
func (l *link) isIdle() bool { return !l.hasOpenCalls() && !l.wroteSincePing.Load() }

// register allocates the number of a call and the channel for its answer. It reports
// false if the link is closed.
func (l *link) register(ctx context.Context) (int, chan wire.Frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, nil, false
	}
	l.next++
	answer := make(chan wire.Frame, 1)
	l.pending[l.next] = pendingCall{
		ctx:    ctx,
		answer: answer,
		madeAt: l.now(),
	}
	return l.next, answer, true
}

func (l *link) unregister(id int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

func (l *link) deliver(f wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call, ok := l.pending[f.Id]; ok {
		call.answer <- f
		delete(l.pending, f.Id)
	}
}

func (l *link) hasOpenCalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0 || l.inFlight.Load() > 0
}

func (l *link) close(reason string) {
	l.mu.Lock()
	closed, open := l.closed, len(l.pending)+int(l.inFlight.Load())
	if !closed {
		l.closed = true
		close(l.done)
		_ = l.conn.CloseNow()
	}
	l.mu.Unlock()
	if !closed && open > 0 {
		l.log.Info("link closed", "address", l.peer, "reason", reason, "open", open)
	}
}

// Reasons for which a link is closed, as logged.
const (
	closedByWrite    = "write failed"
	closedByRead     = "read failed"
	closedBySilence  = "no answer to a ping"
	closedByStall    = "this process stalled"
	closedByShutdown = "shutdown"
)

func (l *link) write(f wire.Frame) error {
	raw, err := cbor.Marshal(f)
	if err != nil {
		return errors.Annotate(err, "encode frame")
	}
	l.counters.Bytes(kindOf(f), len(raw))
	if !l.wroteSincePing.Swap(true) {
		l.wakeKeepAlive()
	}
	// The write needs no timeout: keepAlive closes a link whose peer reads nothing,
	// which ends the write.
	if err := l.writeMessage(raw); err != nil {
		l.close(closedByWrite)
		return errors.WithType(err, ErrLinkClosed)
	}
	return nil
}

// fragmentBytes is the size of the parts in which large messages are written, so that pings and
// their answers pass between them.
const fragmentBytes = 64 << 10

func (l *link) writeMessage(raw []byte) error {
	if len(raw) <= fragmentBytes {
		return l.conn.Write(context.Background(), websocket.MessageBinary, raw)
	}
	w, err := l.conn.Writer(context.Background(), websocket.MessageBinary)
	if err != nil {
		return err
	}
	for fragment := range slices.Chunk(raw, fragmentBytes) {
		if _, err := w.Write(fragment); err != nil {
			return err
		}
	}
	return w.Close()
}

// readMessage reads a message and counts its parts as they arrive.
func (l *link) readMessage() ([]byte, error) {
	_, r, err := l.conn.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	return io.ReadAll(countingReader{
		Reader: r,
		reads:  &l.reads,
	})
}

// countingReader counts the reads that returned data.
type countingReader struct {
	io.Reader

	reads *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.reads.Add(1)
	}
	return n, err
}

// read passes incoming frames to serve until the link closes.
func (l *link) read(serve func(wire.Frame)) {
	defer l.close(closedByRead)
	for {
		raw, err := l.readMessage()
		if err != nil {
			return
		}
		var f wire.Frame
		if err := cbor.Unmarshal(raw, &f); err != nil {
			return
		}
		if f.Probe != nil {
			l.recordProbe(f.Probe)
			go l.answerProbe(f.Probe)
			continue
		}
		serve(f)
	}
}

// oneWayPingTicks is the number of keepAlive ticks between pings of a link that only
// carries frames without an answer.
const oneWayPingTicks = 2

// keepAlive closes the link when a ping gets no answer and nothing else arrives. It pings while calls from either
// side are open, and less often after frames that expect no answer, because a
// connection can stop delivering without reporting an error. It sleeps while the link
// is idle.
func (l *link) keepAlive() {
	timer := time.NewTimer(l.pingTimeout / 2)
	defer timer.Stop()
	for tick := 0; ; tick++ {
		if l.isIdle() {
			select {
			case <-l.done:
				return
			case <-l.wake:
			}
		}
		timer.Reset(loop.Next(l.pingTimeout / 2))
		select {
		case <-l.done:
			return
		case <-timer.C:
			due := l.hasOpenCalls() || (tick%oneWayPingTicks == 0 && l.wroteSincePing.Swap(false))
			if due && !l.isAlive() {
				l.close(closedBySilence)
				return
			}
		}
	}
}

// maxSilences is how many times the ping timeout a peer may send parts of messages without
// answering a ping. One that reads nothing may go on writing.
const maxSilences = 10

// isAlive pings the peer, and reports whether it answers in time. The wait is extended while parts
// of messages arrive, maxSilences times, and by this host's own delay: the answer may not be read
// yet.
func (l *link) isAlive() bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answered := make(chan bool, 1)
	go func() { answered <- l.conn.Ping(ctx) == nil }()
	for range maxSilences {
		reads := l.reads.Load()
		silence, stop := l.meter.WithTimeout(ctx, 0, l.pingTimeout)
		select {
		case ok := <-answered:
			stop()
			return ok
		case <-silence.Done():
			stop()
			if l.reads.Load() == reads {
				return false
			}
		}
	}
	return false
}

// ping reports whether the peer answers a ping in time.
func (l *link) ping() bool {
	ctx, cancel := context.WithTimeout(context.Background(), l.pingTimeout)
	defer cancel()
	return l.conn.Ping(ctx) == nil
}

// call sends a frame and waits for its answer.
func (l *link) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	id, answer, ok := l.register(ctx)
	if !ok {
		return wire.Frame{}, errors.Trace(ErrNoLink)
	}
	defer l.unregister(id)
	f.Id = id
	if isProbed(f) {
		f.Fresh = l.fresh(ctx)
	}
	if err := l.write(f); err != nil {
		return wire.Frame{}, err
	}
	select {
	case f := <-answer:
		return f, nil
	case <-l.done:
		return wire.Frame{}, errors.Trace(ErrLinkClosed)
	case <-ctx.Done():
		return wire.Frame{}, errors.WithType(ctx.Err(), ErrLinkClosed)
	}
}
