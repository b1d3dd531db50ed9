package watch

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core/listing"
)

// Update is what a host that reads the lists found there since its last news.
type Update struct {
	Reader         string // its incarnation
	Number         int    // of changes of the backend servers, this one included
	Position       int64  // up to which they were read
	SinceFailure   time.Duration
	Full           bool // what isn't named is gone
	Servers        []listing.Server
	RemovedServers []string // IDs
	Hosts          []listing.Host
	RemovedHosts   []string // names
}

// changes is how many changes of the backend servers news carry.
func (n Update) changes() int {
	if len(n.Servers)+len(n.RemovedServers) > 0 && !n.Full {
		return 1
	}
	return 0
}

// updateState is what was not passed on yet, and whose updateState were taken last.
type updateState struct {
	position       int64           // up to which the backend servers are known
	sent           int             // changes passed on
	changedServers map[string]bool // IDs that changed since
	changedHosts   map[string]bool // names that changed since
	reader         string
	applied        int // changes taken from the reader
}

func newUpdateState() updateState {
	return updateState{
		changedServers: map[string]bool{},
		changedHosts:   map[string]bool{},
	}
}

// SetShouldRead sets whether this host reads the lists itself.
func (w *Watcher) SetShouldRead(reads func() bool) { w.shouldRead = reads }

// OnUpdate calls f with the news after each read of the backend servers.
func (w *Watcher) OnUpdate(f func(Update)) { w.onUpdate = append(w.onUpdate, f) }

// publishUpdate tells what has changed since the last time.
func (w *Watcher) publishUpdate() {
	w.mu.Lock()
	n := Update{
		Position:     w.updates.position,
		SinceFailure: w.sinceFailed(),
	}
	for _, id := range slices.Sorted(maps.Keys(w.updates.changedServers)) {
		if s, ok := w.servers[id]; ok {
			n.Servers = append(n.Servers, s)
		} else {
			n.RemovedServers = append(n.RemovedServers, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.updates.changedHosts)) {
		if h, ok := w.hosts[name]; ok {
			n.Hosts = append(n.Hosts, h)
		} else {
			n.RemovedHosts = append(n.RemovedHosts, name)
		}
	}
	w.updates.sent += n.changes()
	n.Number = w.updates.sent
	clear(w.updates.changedServers)
	clear(w.updates.changedHosts)
	w.mu.Unlock()
	for _, f := range w.onUpdate {
		f(n)
	}
}

// sinceFailed returns the time since a read of servers failed, 0 where none did.
func (w *Watcher) sinceFailed() time.Duration {
	if w.serversFailedAt.IsZero() {
		return 0
	}
	return max(1, time.Since(w.serversFailedAt))
}

// Position returns the position in the store up to which the backend servers are known.
func (w *Watcher) Position() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates.position
}

// Snapshot returns everything that is known from the lists, as news.
func (w *Watcher) Snapshot() Update {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Update{
		Number:       w.updates.sent,
		Position:     w.updates.position,
		SinceFailure: w.sinceFailed(),
		Full:         true,
		Servers:      w.sortedServers(),
		Hosts:        slices.Collect(maps.Values(w.hosts)),
	}
}

// ApplyResult is what became of news.
type ApplyResult uint8

// The fates of news.
const (
	Outdated ApplyResult = iota // they tell less than is known
	Gap                         // news before them were missed, so all is needed
	Applied
)

// Apply takes the news of another host.
func (w *Watcher) Apply(n Update) ApplyResult {
	heard, changed, servers := w.applyServers(n)
	if heard != Applied {
		return heard
	}
	if changed {
		w.notifyServers(servers)
	}
	w.mergeHosts(HostsPage{
		Hosts: n.Hosts,
		Gone:  n.RemovedHosts,
		Full:  n.Full,
	})
	return Applied
}

func (w *Watcher) applyServers(n Update) (heard ApplyResult, changed bool, servers []listing.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case n.Position < w.updates.position:
		return Outdated, false, nil
	case !n.Full && (n.Reader != w.updates.reader || n.Number-n.changes() != w.updates.applied):
		return Gap, false, nil
	}
	w.updates.position, w.updates.reader, w.updates.applied = n.Position, n.Reader, n.Number
	if n.SinceFailure > 0 {
		if failed := time.Now().Add(-n.SinceFailure); failed.After(w.serversFailedAt) {
			w.serversFailedAt = failed
		}
	}
	changed = !w.serversRead || n.Full || n.changes() > 0
	w.serversRead = true
	if n.Full {
		clear(w.servers)
	}
	for _, s := range n.Servers {
		w.servers[s.ID] = s
	}
	for _, id := range n.RemovedServers {
		delete(w.servers, id)
	}
	clear(w.absentSince)
	clear(w.updates.changedServers)
	if changed {
		servers = w.sortedServers()
	}
	return Applied, changed, servers
}
