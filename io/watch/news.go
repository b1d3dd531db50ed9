package watch

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core/listing"
)

// News is what a host that reads the lists found there since its last news.
type News struct {
	Reader   string // its incarnation
	Number   int    // of changes of the backend servers, this one included
	Position int64  // up to which they were read
	Failed   time.Duration
	Whole    bool // what isn't named is gone
	Servers  []listing.Server
	Gone     []string // IDs
	Hosts    []listing.Host
	Left     []string // names
}

// changes is how many changes of the backend servers news carry.
func (n News) changes() int {
	if len(n.Servers)+len(n.Gone) > 0 && !n.Whole {
		return 1
	}
	return 0
}

// news is what was not passed on yet, and whose news were taken last.
type news struct {
	position int64           // up to which the backend servers are known
	number   int             // changes passed on
	servers  map[string]bool // IDs that changed since
	hosts    map[string]bool // names that changed since
	reader   string
	taken    int // changes taken from the reader
}

func newNews() news {
	return news{
		servers: map[string]bool{},
		hosts:   map[string]bool{},
	}
}

// SetDuty sets whether this host reads the lists itself.
func (w *Watcher) SetDuty(reads func() bool) { w.reads = reads }

// OnRead calls f with the news after each read of the backend servers.
func (w *Watcher) OnRead(f func(News)) { w.onRead = append(w.onRead, f) }

// passOn tells what has changed since the last time.
func (w *Watcher) passOn() {
	w.mu.Lock()
	n := News{
		Position: w.news.position,
		Failed:   w.sinceFailed(),
	}
	for _, id := range slices.Sorted(maps.Keys(w.news.servers)) {
		if s, ok := w.servers[id]; ok {
			n.Servers = append(n.Servers, s)
		} else {
			n.Gone = append(n.Gone, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.news.hosts)) {
		if h, ok := w.hosts[name]; ok {
			n.Hosts = append(n.Hosts, h)
		} else {
			n.Left = append(n.Left, name)
		}
	}
	w.news.number += n.changes()
	n.Number = w.news.number
	clear(w.news.servers)
	clear(w.news.hosts)
	w.mu.Unlock()
	for _, f := range w.onRead {
		f(n)
	}
}

// sinceFailed returns the time since a read of servers failed, 0 where none did.
func (w *Watcher) sinceFailed() time.Duration {
	if w.failed.IsZero() {
		return 0
	}
	return max(1, time.Since(w.failed))
}

// Position returns the position in the store up to which the backend servers are known.
func (w *Watcher) Position() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.news.position
}

// All returns everything that is known from the lists, as news.
func (w *Watcher) All() News {
	w.mu.Lock()
	defer w.mu.Unlock()
	return News{
		Number:   w.news.number,
		Position: w.news.position,
		Failed:   w.sinceFailed(),
		Whole:    true,
		Servers:  w.sortedServers(),
		Hosts:    slices.Collect(maps.Values(w.hosts)),
	}
}

// Heard is what became of news.
type Heard uint8

// The fates of news.
const (
	Older   Heard = iota // they tell less than is known
	Missing              // news before them were missed, so all is needed
	Taken
)

// Hear takes the news of another host.
func (w *Watcher) Hear(n News) Heard {
	heard, changed, servers := w.take(n)
	if heard != Taken {
		return heard
	}
	if changed {
		w.publish(servers)
	}
	w.mergeHosts(HostsPage{
		Hosts: n.Hosts,
		Gone:  n.Left,
		Full:  n.Whole,
	})
	return Taken
}

func (w *Watcher) take(n News) (heard Heard, changed bool, servers []listing.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case n.Position < w.news.position:
		return Older, false, nil
	case !n.Whole && (n.Reader != w.news.reader || n.Number-n.changes() != w.news.taken):
		return Missing, false, nil
	}
	w.news.position, w.news.reader, w.news.taken = n.Position, n.Reader, n.Number
	if n.Failed > 0 {
		if failed := time.Now().Add(-n.Failed); failed.After(w.failed) {
			w.failed = failed
		}
	}
	changed = !w.listed || n.Whole || n.changes() > 0
	w.listed = true
	if n.Whole {
		clear(w.servers)
	}
	for _, s := range n.Servers {
		w.servers[s.ID] = s
	}
	for _, id := range n.Gone {
		delete(w.servers, id)
	}
	clear(w.absent)
	clear(w.news.servers)
	if changed {
		servers = w.sortedServers()
	}
	return Taken, changed, servers
}
