package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// fetchTimeout limits one fetch of a configuration, or of the store's lists, from a peer.
const fetchTimeout = time.Second

// configFetcher fetches newer configurations from peers, so that a host gets them while
// it can't read the store.
type configFetcher struct {
	peers    Peers
	watcher  *watch.Watcher
	log      logr.Logger
	fetching atomic.Bool
}

// handleVersion fetches the configuration of a peer if its version is newer and no
// other fetch is running.
func (f *configFetcher) handleVersion(address string, version int) {
	if version <= f.watcher.Config().Version || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		f.fetch(address)
	}()
}

func (f *configFetcher) fetch(address string) {
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

// serve answers a peer with this host's configuration.
func (f *configFetcher) serve(context.Context, wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Config: &wire.Config{
		Version: f.watcher.Config().Version,
		Body:    string(f.watcher.RawConfig()),
	}}, true
}
