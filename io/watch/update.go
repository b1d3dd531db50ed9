package watch

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core/listing"
)

// Update holds the changes that a host found in the store's lists since its previous
// update, or all entries if Full is set.
type Update struct {
	Reader         string        // incarnation of the host that read the lists
	Number         int           // updates of this reader that changed backend servers, this one included
	Position       int64         // store position up to which the backend servers were read
	SinceFailure   time.Duration // since a read of the backend servers failed; 0 if none did
	Full           bool          // entries that are not included were removed
	Servers        []listing.Server
	RemovedServers []string // IDs
	Hosts          []listing.Host
	RemovedHosts   []string // names
}

// changes returns 1 if n is an incremental update that changes backend servers, else 0.
func (n Update) changes() int {
	if len(n.Servers)+len(n.RemovedServers) > 0 && !n.Full {
		return 1
	}
	return 0
}

// updateState holds the changes that were not published yet, and the last update
// that was applied.
type updateState struct {
	position       int64           // store position up to which the backend servers are known
	sent           int             // published updates that changed backend servers
	changedServers map[string]bool // IDs changed since the last publication
	changedHosts   map[string]bool // names changed since the last publication
	reader         string          // incarnation of the host whose update was applied last
	applied        int             // Number of that update
}

func newUpdateState() updateState {
	return updateState{
		changedServers: map[string]bool{},
		changedHosts:   map[string]bool{},
	}
}

// SetShouldRead sets the function that reports whether this host reads the lists itself.
func (w *Watcher) SetShouldRead(reads func() bool) { w.shouldRead = reads }

// OnUpdate calls f with the changes after each read of the backend servers.
func (w *Watcher) OnUpdate(f func(Update)) { w.onUpdate = append(w.onUpdate, f) }

// publishUpdate passes the changes since the last call to the OnUpdate functions.
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

// sinceFailed returns the time since a read of the backend servers last failed, or 0
// if none did. The caller holds w.mu.
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

// Snapshot returns all known servers and hosts as a full update.
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

// ApplyResult is the outcome of Apply.
type ApplyResult uint8

// The outcomes of Apply.
const (
	Outdated ApplyResult = iota // the update is older than the current state
	Gap                         // earlier updates were missed; a full update is needed
	Applied
)

// Apply merges an update that another host sent.
func (w *Watcher) Apply(n Update) ApplyResult {
	result, changed := w.applyServers(n)
	if result != Applied {
		return result
	}
	if changed {
		w.notifyServers()
	}
	w.mergeHosts(HostsPage{
		Hosts:   n.Hosts,
		Removed: n.RemovedHosts,
		Full:    n.Full,
	})
	return Applied
}

// Inherit applies a full update of lists that another host had read by readAt, unless this host
// has lists, and reports whether it did.
func (w *Watcher) Inherit(n Update, readAt time.Time) bool {
	if !n.Full || n.Position == 0 || !w.LacksLists() {
		return false
	}
	if result, _ := w.applyServers(n); result != Applied {
		return false
	}
	w.notifyServers()
	w.mergeHosts(HostsPage{
		Hosts:  n.Hosts,
		Full:   true,
		ReadAt: readAt,
	})
	return true
}

// LacksLists reports whether neither backend servers nor hosts are known.
func (w *Watcher) LacksLists() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.serversRead && len(w.hosts) == 0
}

func (w *Watcher) applyServers(n Update) (result ApplyResult, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case n.Position < w.updates.position:
		return Outdated, false
	case !n.Full && (n.Reader != w.updates.reader || n.Number-n.changes() != w.updates.applied):
		return Gap, false
	}
	w.updates.position, w.updates.reader, w.updates.applied = n.Position, n.Reader, n.Number
	if n.SinceFailure > 0 {
		if failedAt := time.Now().Add(-n.SinceFailure); failedAt.After(w.serversFailedAt) {
			w.serversFailedAt = failedAt
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
	return Applied, changed
}
