package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// fetchTimeout bounds one fetch of a configuration from a peer.
const fetchTimeout = time.Second

// fetcher takes newer configurations from peers, for a host that can't read
// the store.
type fetcher struct {
	peers   Peers
	watcher *watch.Watcher
	log     logr.Logger
	busy    atomic.Bool
}

// heard reacts to the version that a host has.
func (f *fetcher) heard(address string, version int) {
	if version <= f.watcher.Config().Version || !f.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.busy.Store(false)
		f.fetch(address)
	}()
}

func (f *fetcher) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := f.peers.Call(ctx, address, wire.Frame{Fetch: &wire.Fetch{Version: f.watcher.Config().Version}})
	if err == nil && answer.Config != nil {
		err = f.watcher.OfferRaw([]byte(answer.Config.Body), address)
	}
	if err != nil {
		f.log.Info("configuration not fetched", "address", address, "error", err.Error())
	}
}

// serve gives this host's configuration to a peer.
func (f *fetcher) serve(context.Context, wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Config: &wire.Config{
		Version: f.watcher.Config().Version,
		Body:    string(f.watcher.RawConfig()),
	}}, true
}
