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
	"rosemarywalk/io/late"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// listSharer sends the updates that one host reads from the store to the other hosts of
// its failure domain, and applies those that it receives.
type listSharer struct {
	peers    Peers
	roster   *Roster
	watcher  *watch.Watcher
	meter    *late.Meter
	counters *telemetry.Counters
	log      logr.Logger
	fetching atomic.Bool // a full update is being fetched from a reader

	mu   sync.Mutex
	role listing.ReaderRole
}

// domain returns the hosts of this host's failure domain that are not stopping.
func (l *listSharer) domain() []member.Host {
	self := l.roster.Self()
	return slices.DeleteFunc(l.roster.Live(), func(h member.Host) bool {
		return h.Domain != self.Domain || h.Stopping
	})
}

// shouldRead reports whether this host reads the store's lists itself.
func (l *listSharer) shouldRead() bool {
	rank, hosts := l.roster.domainRank()
	// While this host is late, updates may have arrived that it hasn't read.
	now := time.Now().Add(-l.meter.Since(time.Time{}))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.role.ShouldRead(now, rank, hosts)
}

// publishUpdate sends an update to the other hosts of the failure domain, unless the
// domain is so small that each host reads the lists itself.
func (l *listSharer) publishUpdate(n watch.Update) {
	domain := l.domain()
	l.mu.Lock()
	shared := l.role.IsShared(len(domain))
	l.mu.Unlock()
	if !shared {
		return
	}
	frame := wire.Frame{Listing: updateToWire(l.roster.Self(), n)}
	for _, h := range domain {
		if h.Address != l.roster.Self().Address {
			l.counters.Messages("listing", 1)
			go l.send(h.Address, frame)
		}
	}
}

// sendTimeout limits the sending of one update to a peer.
const sendTimeout = time.Second

func (l *listSharer) send(address string, f wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := l.peers.Send(ctx, address, f); err != nil {
		l.log.V(1).Info("cannot send list update", "address", address, "error", err.Error())
	}
}

// handleListing handles an update frame from another host.
func (l *listSharer) handleListing(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	l.apply(f.Listing)
	return wire.Frame{}, false
}

// apply applies an update, and fetches a full one in the background if earlier updates
// were missed.
func (l *listSharer) apply(from *wire.Listing) {
	switch l.watcher.Apply(updateFromWire(from)) {
	case watch.Outdated:
	case watch.Applied:
		l.mu.Lock()
		l.role = l.role.WithUpdate(time.Now())
		l.mu.Unlock()
	case watch.Gap:
		if l.fetching.CompareAndSwap(false, true) {
			go func() {
				defer l.fetching.Store(false)
				l.fetch(from.Host)
			}()
		}
	}
}

// fetch gets a full update from a peer and applies it.
func (l *listSharer) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := l.peers.Call(ctx, address, wire.Frame{List: &wire.List{Position: int(l.watcher.Position())}})
	if err == nil && answer.Listing == nil {
		err = errors.New("peer response contains no lists")
	}
	if err != nil {
		l.log.Info("lists not fetched", "address", address, "error", err.Error())
		return
	}
	l.apply(answer.Listing)
}

// serve answers a peer with a full update.
func (l *listSharer) serve(context.Context, wire.Frame) (wire.Frame, bool) {
	lists := updateToWire(l.roster.Self(), l.watcher.Snapshot())
	lists.Rows = l.roster.rowsToWire()
	return wire.Frame{Listing: lists}, true
}
