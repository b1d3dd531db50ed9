package watch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
)

// Watcher keeps the newest lists.
type Watcher struct {
	source  Source
	periods Periods
	log     logr.Logger

	mu        sync.Mutex
	config    route.Config
	raw       []byte
	servers   map[string]listing.Server
	absent    map[string]time.Time // servers without an entry, since when
	hosts     map[string]listing.Host
	listed    bool      // the backend servers were read once
	failed    time.Time // when a read of servers last failed
	onConfig  []func(route.Config)
	onServers []func([]listing.Server)
	onHosts   []func([]listing.Host)
	learned   func() []listing.RouteWait
	reads     func() bool // whether this host reads the lists itself
	news      news
	onRead    []func(News)
}

// Periods sets how often lists are read.
type Periods struct {
	Poll    time.Duration // longest wait of one read
	Servers time.Duration // pause between reads of servers
	Hosts   time.Duration // pause between reads of hosts
	Retry   time.Duration // pause after a failed read
	Return  time.Duration // in which lapsed entries come back after an outage
}

// New returns a watcher that knows nothing yet.
func New(source Source, p Periods, log logr.Logger) *Watcher {
	return &Watcher{
		source:  source,
		periods: p,
		log:     log.WithName("watch"),
		servers: map[string]listing.Server{},
		absent:  map[string]time.Time{},
		hosts:   map[string]listing.Host{},
		learned: func() []listing.RouteWait { return nil },
		reads:   func() bool { return true },
		news:    newNews(),
	}
}

// Config returns the configuration in force; version 0 is none.
func (w *Watcher) Config() route.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// Raw returns the configuration in force as the operator wrote it.
func (w *Watcher) Raw() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.raw
}

// OnConfig calls f with each new configuration.
func (w *Watcher) OnConfig(f func(route.Config)) { w.onConfig = append(w.onConfig, f) }

// OnServers calls f with all backend servers when they change.
func (w *Watcher) OnServers(f func([]listing.Server)) { w.onServers = append(w.onServers, f) }

// OnHosts calls f with all hosts when they change.
func (w *Watcher) OnHosts(f func([]listing.Host)) { w.onHosts = append(w.onHosts, f) }

// SetLearned sets what this host's own row says of its callers.
func (w *Watcher) SetLearned(f func() []listing.RouteWait) { w.learned = f }

// Offer takes a configuration, from wherever it came; an older one changes nothing.
func (w *Watcher) Offer(c route.Config, raw []byte, from string) {
	w.mu.Lock()
	newer := c.Version > w.config.Version
	if newer {
		w.config, w.raw = c, raw
	}
	w.mu.Unlock()
	if !newer {
		return
	}
	w.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "from", from)
	for _, f := range w.onConfig {
		f(c)
	}
}

// OfferRaw takes a configuration as the operator wrote it.
func (w *Watcher) OfferRaw(raw []byte, from string) error {
	c, err := w.source.Decode(raw)
	if err != nil {
		return err
	}
	w.Offer(c, raw, from)
	return nil
}

// Known reports whether a configuration and the backend servers were read.
func (w *Watcher) Known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Version > 0 && w.listed
}

// follow reads one list for good: the whole of it first, then its changes.
func (w *Watcher) follow(ctx context.Context, list string, pause func() time.Duration, read func(ctx context.Context, after int64) (int64, error)) {
	position, down := int64(0), false
	for first := true; ctx.Err() == nil; first = false {
		if !first && !w.reads() {
			// Others read meanwhile; what they passed on names no position in a list.
			position = 0
			sleep(ctx, dutyPause)
			continue
		}
		next, err := read(ctx, position)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistory):
			w.log.Info("list is read anew", "list", list, "position", position)
			position = 0
			continue
		case err != nil:
			if !down {
				w.log.Info("dependency lost", "dependency", "store", "list", list, "position", position, "error", err.Error())
			}
			down = true
			sleep(ctx, w.periods.Retry)
			continue
		}
		if down {
			w.log.Info("dependency regained", "dependency", "store", "list", list, "position", next)
		}
		position, down = next, false
		sleep(ctx, pause())
	}
}

// always returns a pause that doesn't change.
func always(pause time.Duration) func() time.Duration {
	return func() time.Duration { return pause }
}

// hostsPause is the pause between reads of the hosts. Hosts that start together find
// an empty list at first, and can't take servers over before they know each other.
func (w *Watcher) hostsPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.hosts) == 0 {
		return min(dutyPause, w.periods.Hosts)
	}
	return w.periods.Hosts
}

// dutyPause is how often a host that needn't read looks whether it has to.
const dutyPause = 100 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (w *Watcher) readConfig(ctx context.Context, after int64) (int64, error) {
	page, err := w.source.Config(ctx, after, w.periods.Poll)
	if err != nil {
		return 0, err
	}
	if page.Config.Version > 0 {
		w.Offer(page.Config, page.Raw, "store")
	}
	return page.Position, nil
}

func (w *Watcher) readServers(ctx context.Context, after int64) (int64, error) {
	page, err := w.source.Servers(ctx, after, w.periods.Poll)
	if err != nil {
		w.mu.Lock()
		w.failed = time.Now()
		w.mu.Unlock()
		return 0, err
	}
	for _, bad := range page.Bad {
		w.log.Info("entry passed over", "key", bad.Key, "error", bad.Err.Error())
	}
	servers, changed, err := w.mergeServers(page)
	if err != nil {
		return 0, err
	}
	if changed {
		w.publish(servers)
	}
	w.passOn()
	return page.Position, nil
}

func (w *Watcher) publish(servers []listing.Server) {
	for _, f := range w.onServers {
		f(servers)
	}
}

// mergeServers applies a page, and returns all servers.
func (w *Watcher) mergeServers(page ServersPage) ([]listing.Server, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if page.Position < w.news.position {
		// A server that has left since would be in use again.
		return nil, false, errors.Annotatef(errStale, "position %d after %d", page.Position, w.news.position)
	}
	w.news.position = page.Position
	changed := !w.listed
	w.listed = true
	present := map[string]bool{}
	for _, s := range page.Servers {
		present[s.ID] = true
		delete(w.absent, s.ID)
		old, known := w.servers[s.ID]
		if known && old.Same(s) {
			continue
		}
		w.servers[s.ID] = s
		w.news.servers[s.ID] = true
		changed = true
	}
	for _, bad := range page.Bad {
		page.Gone = append(page.Gone, bad.Key)
	}
	if page.Whole {
		for id := range w.servers {
			if !present[id] {
				page.Gone = append(page.Gone, id)
			}
		}
	}
	for _, id := range page.Gone {
		if _, known := w.absent[id]; !known {
			w.absent[id] = time.Now()
		}
	}
	servers, changed := w.sweep(changed)
	return servers, changed, nil
}

// errStale says that an answer is older than what is known.
const errStale = errors.ConstError("stale answer")

// sweep removes servers without an entry. After an outage of the store they
// get the time that lapsed entries need to come back.
func (w *Watcher) sweep(changed bool) ([]listing.Server, bool) {
	now := time.Now()
	outage := !w.failed.IsZero() && now.Sub(w.failed) < 2*w.periods.Return
	for id, since := range w.absent {
		if outage && now.Sub(since) < w.periods.Return {
			continue
		}
		delete(w.absent, id)
		if _, known := w.servers[id]; known {
			delete(w.servers, id)
			w.news.servers[id] = true
			changed = true
		}
	}
	return w.sortedServers(), changed
}

// sortedServers returns the backend servers by ID, under the lock.
func (w *Watcher) sortedServers() []listing.Server {
	servers := slices.Collect(maps.Values(w.servers))
	slices.SortFunc(servers, func(a, b listing.Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

func (w *Watcher) readHosts(ctx context.Context, after int64) (int64, error) {
	page, err := w.source.Hosts(ctx, after, w.periods.Poll)
	if err != nil {
		return 0, err
	}
	w.mergeHosts(page)
	return page.Position, nil
}

// mergeHosts applies a page, and passes all hosts on.
func (w *Watcher) mergeHosts(page HostsPage) {
	w.mu.Lock()
	if page.Whole {
		for name := range w.hosts {
			w.news.hosts[name] = true
		}
		clear(w.hosts)
	}
	for _, name := range page.Gone {
		delete(w.hosts, name)
		w.news.hosts[name] = true
	}
	for _, h := range page.Hosts {
		w.hosts[h.Name] = h
		w.news.hosts[h.Name] = true
	}
	hosts := slices.Collect(maps.Values(w.hosts))
	w.mu.Unlock()
	for _, f := range w.onHosts {
		f(hosts)
	}
}
