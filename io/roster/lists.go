package roster

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// lists passes what one host reads from the store's lists on to the others of its
// failure domain.
type lists struct {
	peers    Peers
	roster   *Roster
	watcher  *watch.Watcher
	counters *telemetry.Counters
	log      logr.Logger
	busy     atomic.Bool // all of a reader's lists are being fetched

	mu   sync.Mutex
	duty listing.Duty
}

// place returns this host's rank among the hosts of its failure domain, and those
// hosts; a host that stops has rank 0.
func (l *lists) place() (rank int, domain []member.Host) {
	self := l.roster.Self()
	domain = slices.DeleteFunc(l.roster.Live(), func(h member.Host) bool {
		return h.Domain != self.Domain || h.Stopping
	})
	slices.SortFunc(domain, member.Fitter)
	rank = slices.IndexFunc(domain, func(h member.Host) bool { return h.Address == self.Address })
	return max(0, rank), domain
}

// reads reports whether this host reads the lists itself.
func (l *lists) reads() bool {
	rank, domain := l.place()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duty.ShouldRead(time.Now(), rank, len(domain))
}

// passOn sends news to the other hosts of the failure domain, where these don't
// all read.
func (l *lists) passOn(n watch.News) {
	_, domain := l.place()
	l.mu.Lock()
	shared := l.duty.Shared(len(domain))
	l.mu.Unlock()
	if !shared {
		return
	}
	frame := wire.Frame{Listing: listingOf(l.roster.Self(), n)}
	for _, h := range domain {
		if h.Address != l.roster.Self().Address {
			l.counters.Messages("listing", 1)
			go l.send(h.Address, frame)
		}
	}
}

// sendTimeout bounds the sending of news.
const sendTimeout = time.Second

func (l *lists) send(address string, f wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := l.peers.Send(ctx, address, f); err != nil {
		l.log.V(1).Info("lists not passed on", "address", address, "error", err.Error())
	}
}

// take reads news of another host.
func (l *lists) take(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	l.hear(f.Listing)
	return wire.Frame{}, false
}

func (l *lists) hear(from *wire.Listing) {
	switch l.watcher.Hear(newsFrom(from)) {
	case watch.Older:
	case watch.Taken:
		l.mu.Lock()
		l.duty = l.duty.WithNews(time.Now())
		l.mu.Unlock()
	case watch.Missing:
		if l.busy.CompareAndSwap(false, true) {
			go func() {
				defer l.busy.Store(false)
				l.fetch(from.Host)
			}()
		}
	}
}

// fetch takes all that a reader knows.
func (l *lists) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := l.peers.Call(ctx, address, wire.Frame{List: &wire.List{Position: int(l.watcher.Position())}})
	if err == nil && answer.Listing == nil {
		err = errors.New("answer without lists")
	}
	if err != nil {
		l.log.Info("lists not fetched", "address", address, "error", err.Error())
		return
	}
	l.hear(answer.Listing)
}

// serve gives all that this host knows to a peer.
func (l *lists) serve(context.Context, wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Listing: listingOf(l.roster.Self(), l.watcher.All())}, true
}
