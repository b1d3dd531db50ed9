package watch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core/evacuation"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
	"rosemarywalk/io/loop"
)

// Watcher keeps the latest known configuration, backend servers and hosts.
type Watcher struct {
	source  Source
	periods Periods
	log     logr.Logger

	notifying sync.Mutex // held while the OnServers functions run; locked before mu

	mu              sync.Mutex
	startedAt       time.Time
	address         string // peer address of this host's row
	config          route.Config
	raw             []byte
	evacuated       evacuation.Domains
	servers         map[string]listing.Server
	absentSince     map[string]time.Time // when the entry of a server went missing, by server ID
	hosts           map[string]listing.Host
	invalid         map[string]map[string]int64 // versions of invalid entries, by list and key
	serversRead     bool                        // the backend servers were read at least once
	serversFailedAt time.Time                   // when a read of the backend servers last failed
	onConfig        []func(route.Config)
	onEvacuated     func(domains int)
	evacuates       bool // failure domains are evacuated at the operator's request
	onServers       []func([]listing.Server)
	onHosts         []func(readAt time.Time, hosts []listing.Host)
	learnedWaits    func() []listing.RouteWait
	countRefusedRow func()
	shouldRead      func() bool // whether this host reads the lists itself
	updates         updateState
	onUpdate        []func(Update)

	draw       func() float64 // from 0 to 1
	configPoll time.Duration  // longest wait of the next read of the configuration
}

// Names of the lists.
const (
	listConfig  = "config"
	listServers = "servers"
	listHosts   = "hosts"
)

// Periods sets how often lists are read.
type Periods struct {
	Poll    time.Duration // longest wait for a change in one read
	Servers time.Duration // pause between reads of the backend servers
	Hosts   time.Duration // pause between reads of the hosts
	Retry   time.Duration // pause after a failed read
	Return  time.Duration // grace period for entries that expired during an outage of the store
}

// New returns a watcher with empty lists.
func New(source Source, p Periods, log logr.Logger) *Watcher {
	return &Watcher{
		source:       source,
		startedAt:    time.Now(),
		periods:      p,
		log:          log.WithName("watch"),
		servers:      map[string]listing.Server{},
		absentSince:  map[string]time.Time{},
		hosts:        map[string]listing.Host{},
		invalid:      map[string]map[string]int64{},
		learnedWaits: func() []listing.RouteWait { return nil },
		shouldRead:   func() bool { return true },
		onEvacuated:  func(int) {},
		evacuates:    true,

		countRefusedRow: func() {},
		updates:         newUpdateState(),

		draw:       rand.Float64,
		configPoll: p.Poll,
	}
}

// Config returns the current configuration; version 0 means that there is none.
func (w *Watcher) Config() route.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// RawConfig returns the current configuration as the operator wrote it.
func (w *Watcher) RawConfig() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.raw
}

// OnConfig calls f with each new configuration.
func (w *Watcher) OnConfig(f func(route.Config)) { w.onConfig = append(w.onConfig, f) }

// OnServers calls f with all backend servers when they change.
func (w *Watcher) OnServers(f func([]listing.Server)) { w.onServers = append(w.onServers, f) }

// OnHosts calls f with all hosts when they change.
func (w *Watcher) OnHosts(f func([]listing.Host)) {
	w.OnHostsRead(func(_ time.Time, hosts []listing.Host) { f(hosts) })
}

// OnHostsRead calls f with all hosts when they change, and with the time of the read.
func (w *Watcher) OnHostsRead(f func(readAt time.Time, hosts []listing.Host)) {
	w.onHosts = append(w.onHosts, f)
}

// SetRouteWaits sets the function that returns the learned waiting times, by route, that
// this host writes to its row in the store.
func (w *Watcher) SetRouteWaits(f func() []listing.RouteWait) { w.learnedWaits = f }

// SetDraw sets the function that draws numbers from 0 to 1.
func (w *Watcher) SetDraw(draw func() float64) { w.draw = draw }

// Offer makes c the current configuration if its version is newer. The source, from,
// is logged.
func (w *Watcher) Offer(c route.Config, raw []byte, from string) {
	w.mu.Lock()
	newer := c.Version > w.config.Version
	servicesChanged := false
	if newer {
		servicesChanged = w.serversRead && !maps.Equal(servicesOf(c), servicesOf(w.config))
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
	if servicesChanged {
		w.notifyServers()
	}
}

// servicesOf returns the services that a configuration has or sends a route to.
func servicesOf(c route.Config) map[string]bool {
	services := map[string]bool{}
	for _, name := range c.Services {
		services[name] = true
	}
	for _, r := range c.Routes {
		services[r.Service] = true
	}
	return services
}

// OfferRaw decodes a configuration as the operator wrote it and offers it.
func (w *Watcher) OfferRaw(raw []byte, from string) error {
	c, err := w.source.Decode(raw)
	if err != nil {
		return err
	}
	w.Offer(c, raw, from)
	return nil
}

// Ready reports whether a configuration and the backend servers are known.
func (w *Watcher) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Version > 0 && w.serversRead
}

// follow reads one list until ctx is done: first the full list, then its changes.
func (w *Watcher) follow(ctx context.Context, list string, pause func() time.Duration, read func(ctx context.Context, after int64) (int64, error)) {
	position, failing := int64(0), false
	for first := true; ctx.Err() == nil; first = false {
		if !first && !w.shouldRead() {
			// Updates from other hosts carry no position in this list, so the next
			// read needs the full list.
			position = 0
			sleep(ctx, loop.Next(roleCheckInterval))
			continue
		}
		next, err := read(ctx, position)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			w.log.Info("store history compacted; reading the full list", "list", list, "position", position)
			position = 0
			continue
		case errors.Is(err, ErrTooManyChanges):
			w.log.Info("too many changes in the store; reading the full list", "list", list, "position", position)
			position = 0
			sleep(ctx, w.periods.Retry)
			continue
		case err != nil:
			if !failing {
				w.log.Info("dependency lost", "dependency", "store", "list", list, "position", position, "error", err.Error())
			}
			failing = true
			sleep(ctx, w.periods.Retry)
			continue
		}
		if failing {
			w.log.Info("dependency regained", "dependency", "store", "list", list, "position", next)
		}
		position, failing = next, false
		sleep(ctx, pause())
	}
}

func fixedPause(pause time.Duration) func() time.Duration {
	return func() time.Duration { return pause }
}

// hostsPause returns the pause between reads of the hosts. It is shorter while the list
// is empty, and at the start while it lacks the row of this host: hosts that start together
// may not find each other before, and can't take over servers until they know each other.
func (w *Watcher) hostsPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	starting := time.Since(w.startedAt) < startPeriod
	if len(w.hosts) == 0 || (starting && !w.isListed()) {
		return min(roleCheckInterval, w.periods.Hosts)
	}
	return w.periods.Hosts
}

// startPeriod is how long after its start a host expects its own row in the list of hosts.
const startPeriod = time.Second

// isListed reports whether the list of hosts has the row of this host. The caller holds w.mu.
func (w *Watcher) isListed() bool {
	for _, h := range w.hosts {
		if h.Address == w.address {
			return true
		}
	}
	return false
}

// roleCheckInterval is how often a host that doesn't read the lists checks whether it
// must.
const roleCheckInterval = 100 * time.Millisecond

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
	page, err := w.source.Config(ctx, after, w.configPoll)
	if err != nil {
		return 0, err
	}
	w.configPoll = w.periods.Poll
	if page.Full || page.Config.Version > 0 {
		// All hosts read a change at the same time. Polls of different lengths keep them from
		// losing the next change together when all connections to the store fail.
		w.configPoll = time.Duration(w.draw() * float64(w.periods.Poll))
	}
	w.logInvalid(listConfig, page.Invalid, nil, page.Full)
	// Before the configuration: a host that starts must not use servers that it may not.
	w.readEvacuations(page)
	if page.Config.Version > 0 {
		w.Offer(page.Config, page.Raw, "store")
	}
	return page.Position, nil
}

// RefreshConfig reads the configuration at once, without the connections that are open.
func (w *Watcher) RefreshConfig(ctx context.Context) {
	page, err := w.source.Refresh(ctx)
	if err != nil {
		w.log.Info("configuration not refreshed", "error", err.Error())
		return
	}
	w.readEvacuations(page)
	if page.Config.Version > 0 {
		w.Offer(page.Config, page.Raw, "store")
	}
}

func (w *Watcher) readServers(ctx context.Context, after int64) (int64, error) {
	page, err := w.source.Servers(ctx, after, w.periods.Poll)
	if err != nil {
		w.mu.Lock()
		w.serversFailedAt = time.Now()
		w.mu.Unlock()
		return 0, err
	}
	w.logInvalid(listServers, page.Invalid, page.Removed, page.Full)
	changed, err := w.mergeServers(page)
	if err != nil {
		return 0, err
	}
	if changed {
		w.notifyServers()
	}
	w.publishUpdate()
	return page.Position, nil
}

// logInvalid logs the invalid entries on a page of a list, each version of an entry once.
func (w *Watcher) logInvalid(list string, entries []InvalidEntry, removed []string, full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.invalid[list]
	if full || known == nil {
		w.invalid[list] = map[string]int64{}
	}
	for _, key := range removed {
		delete(w.invalid[list], key)
	}
	for _, bad := range entries {
		if version, ok := known[bad.Key]; !ok || version != bad.Version {
			w.log.Info("invalid store entry ignored", "list", list, "key", bad.Key, "version", bad.Version, "error", bad.Err.Error())
		}
		w.invalid[list][bad.Key] = bad.Version
	}
}

// notifyServers passes the backend servers to the OnServers functions, without those of
// services that the configuration lacks.
func (w *Watcher) notifyServers() {
	w.notifying.Lock()
	defer w.notifying.Unlock()
	w.mu.Lock()
	servers := w.sortedServers()
	if w.config.Version > 0 {
		services := servicesOf(w.config)
		servers = slices.DeleteFunc(servers, func(s listing.Server) bool { return !services[s.Service] })
	}
	for i := range servers {
		servers[i].Evacuated = w.evacuated.Has(servers[i].Domain)
	}
	w.mu.Unlock()
	for _, f := range w.onServers {
		f(servers)
	}
}

// mergeServers applies a page, and reports whether any server changed.
func (w *Watcher) mergeServers(page ServersPage) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if page.Position < w.updates.position {
		// An older page would bring back servers that were removed since.
		return false, errors.Annotatef(errStale, "position %d after %d", page.Position, w.updates.position)
	}
	w.updates.position = page.Position
	changed := !w.serversRead
	w.serversRead = true
	present := map[string]bool{}
	for _, s := range page.Servers {
		present[s.ID] = true
		delete(w.absentSince, s.ID)
		old, known := w.servers[s.ID]
		if known && old.Same(s) {
			continue
		}
		w.servers[s.ID] = s
		w.updates.changedServers[s.ID] = true
		changed = true
	}
	for _, bad := range page.Invalid {
		page.Removed = append(page.Removed, bad.Key)
	}
	if page.Full {
		for id := range w.servers {
			if !present[id] {
				page.Removed = append(page.Removed, id)
			}
		}
	}
	for _, id := range page.Removed {
		if _, known := w.absentSince[id]; !known {
			w.absentSince[id] = time.Now()
		}
	}
	return w.removeAbsent(changed), nil
}

// errStale means that the store answered with data older than the current state.
const errStale = errors.ConstError("store response is older than the current state")

// removeAbsent removes servers without an entry. After an outage of the store it waits
// for Periods.Return, as entries that expired meanwhile may be written again.
func (w *Watcher) removeAbsent(changed bool) bool {
	now := time.Now()
	outage := !w.serversFailedAt.IsZero() && now.Sub(w.serversFailedAt) < 2*w.periods.Return
	for id, since := range w.absentSince {
		if outage && now.Sub(since) < w.periods.Return {
			continue
		}
		delete(w.absentSince, id)
		if _, known := w.servers[id]; known {
			delete(w.servers, id)
			w.updates.changedServers[id] = true
			changed = true
		}
	}
	return changed
}

// sortedServers returns the backend servers, sorted by ID. The caller holds w.mu.
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
	w.logInvalid(listHosts, page.Invalid, page.Removed, page.Full)
	for _, bad := range page.Invalid {
		page.Removed = append(page.Removed, bad.Key)
	}
	w.mergeHosts(page)
	return page.Position, nil
}

// RemoveHost removes a host's row from the store, unless it has changed.
func (w *Watcher) RemoveHost(ctx context.Context, h listing.Host) error {
	return w.source.Remove(ctx, h)
}

// mergeHosts applies a page, and calls the OnHosts functions with all hosts. A page that another
// host read earlier is only applied if no hosts are known.
func (w *Watcher) mergeHosts(page HostsPage) {
	w.mu.Lock()
	readAt := page.ReadAt
	switch {
	case readAt.IsZero():
		readAt = time.Now()
	case len(w.hosts) > 0:
		w.mu.Unlock() // this host has read the rows meanwhile
		return
	}
	if page.Full {
		for name := range w.hosts {
			w.updates.changedHosts[name] = true
		}
		clear(w.hosts)
	}
	for _, name := range page.Removed {
		delete(w.hosts, name)
		w.updates.changedHosts[name] = true
	}
	for _, h := range page.Hosts {
		w.hosts[h.Name] = h
		w.updates.changedHosts[h.Name] = true
	}
	hosts := slices.Collect(maps.Values(w.hosts))
	w.mu.Unlock()
	for _, f := range w.onHosts {
		f(readAt, hosts)
	}
}
