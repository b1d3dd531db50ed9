package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
)

// scriptedSource is a Source that returns the given pages of backend servers in turn.
type scriptedSource struct{ pages []ServersPage }

func (s *scriptedSource) Config(context.Context, int64, time.Duration) (ConfigPage, error) {
	return ConfigPage{}, nil
}

func (s *scriptedSource) Refresh(context.Context) (ConfigPage, error) { return ConfigPage{}, nil }

func (s *scriptedSource) Servers(context.Context, int64, time.Duration) (ServersPage, error) {
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

func (s *scriptedSource) Hosts(context.Context, int64, time.Duration) (HostsPage, error) {
	return HostsPage{}, nil
}

func (s *scriptedSource) Decode([]byte) (route.Config, error)          { return route.Config{}, nil }
func (s *scriptedSource) Announce(context.Context, listing.Host) error { return nil }
func (s *scriptedSource) Remove(context.Context, listing.Host) error   { return nil }

// boundedSource is a Source that refuses rows of more than a number of waits.
type boundedSource struct {
	scriptedSource

	maxWaits int
	rows     chan listing.Host // that it took
}

func (s *boundedSource) Announce(ctx context.Context, h listing.Host) error {
	if len(h.RouteWaits) > s.maxWaits {
		return errors.Trace(ErrRowRefused)
	}
	select {
	case s.rows <- h:
	case <-ctx.Done():
	}
	return nil
}

// TestRefusedRowRepeated guards against a refused row that is written again as it is: other
// hosts take this one for dead. It checks that the next row is a smaller one, which has the waits
// of the most used routes, and that no more waits are left out than must be.
func TestRefusedRowRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			routes   = 10_000
			maxWaits = 700
			period   = 2 * time.Second
			rows     = 60
		)
		source := &boundedSource{
			maxWaits: maxWaits,
			rows:     make(chan listing.Host),
		}
		w := New(source, Periods{Retry: time.Second}, logr.Discard())
		refused := 0
		w.countRefusedRow = func() { refused++ }
		waits := make([]listing.RouteWait, routes)
		for i := range waits {
			waits[i] = listing.RouteWait{Samples: i}
		}
		w.SetRouteWaits(func() []listing.RouteWait { return waits })
		started := time.Now()
		go w.announce(t.Context(), listing.Host{}, period)
		most, first := 0, <-source.rows
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Equal(t, first.RouteWaits[0].Samples, routes-1)
		assert.Equal(t, refused, 4)
		for range rows {
			most = max(most, len((<-source.rows).RouteWaits))
		}
		assert.Assert(t, most > maxWaits*9/10, "%d waits", most)
		assert.Equal(t, time.Since(started), rows*period, "a row was late")
	})
}

// page returns a page with backend servers of the given IDs.
func page(position int64, whole bool, ids ...string) ServersPage {
	p := ServersPage{
		Position: position,
		Full:     whole,
	}
	for _, id := range ids {
		p.Servers = append(p.Servers, listing.Server{
			ID:      id,
			Service: "s",
		})
	}
	return p
}

func gone(p ServersPage, ids ...string) ServersPage {
	p.Removed = ids
	return p
}

func idsOf(w *Watcher) []string {
	ids := []string{}
	for _, s := range w.Snapshot().Servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// watcherPair is a host that reads the lists and a host that receives its updates.
type watcherPair struct {
	reader   *Watcher
	source   *scriptedSource
	receiver *Watcher
	result   ApplyResult
}

func newPair(pages ...ServersPage) *watcherPair {
	p := &watcherPair{source: &scriptedSource{pages: pages}}
	p.reader = New(p.source, Periods{Return: time.Second}, logr.Discard())
	p.receiver = New(&scriptedSource{}, Periods{Return: time.Second}, logr.Discard())
	p.reader.OnUpdate(func(n Update) {
		n.Reader = "reader"
		p.result = p.receiver.Apply(n)
	})
	return p
}

// sendSnapshot applies a full update of the reader to the receiver.
func (p *watcherPair) sendSnapshot(t *testing.T) {
	t.Helper()
	n := p.reader.Snapshot()
	n.Reader = "reader"
	assert.Equal(t, p.receiver.Apply(n), Applied)
}

// TestNews checks that a host that applies the updates of a reader has the same list.
func TestNews(t *testing.T) {
	tests := []struct {
		name  string
		pages []ServersPage
		want  []string
	}{
		{
			name:  "nothing changes",
			pages: []ServersPage{page(1, true, "a", "b"), page(2, false, "a")},
			want:  []string{"a", "b"},
		},
		{
			name:  "one comes",
			pages: []ServersPage{page(1, true, "a"), page(2, false, "b")},
			want:  []string{"a", "b"},
		},
		{
			name:  "one goes",
			pages: []ServersPage{page(1, true, "a", "b"), gone(page(2, false), "a")},
			want:  []string{"b"},
		},
		{
			name:  "one goes and comes back",
			pages: []ServersPage{page(1, true, "a"), gone(page(2, false), "a"), page(3, false, "a")},
			want:  []string{"a"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPair(test.pages...)
			for i := range test.pages {
				_, err := p.reader.readServers(context.Background(), int64(i))
				assert.NilError(t, err)
				if i == 0 {
					assert.Equal(t, p.result, Gap, "incremental update before the first full one")
					p.sendSnapshot(t)
					continue
				}
				assert.Equal(t, p.result, Applied)
			}
			assert.DeepEqual(t, idsOf(p.receiver), test.want)
			assert.DeepEqual(t, idsOf(p.reader), test.want)
		})
	}
}

// TestNewsMissed checks that a receiver detects a lost update and rejects an older one.
func TestNewsMissed(t *testing.T) {
	p := newPair(page(1, true, "a"), page(2, false, "b"), page(3, false, "c"))
	_, err := p.reader.readServers(context.Background(), 0)
	assert.NilError(t, err)
	p.sendSnapshot(t)
	lagging := p.receiver
	p.receiver = New(&scriptedSource{}, Periods{}, logr.Discard()) // This update never reaches the receiver.
	_, err = p.reader.readServers(context.Background(), 1)
	assert.NilError(t, err)
	p.receiver = lagging
	_, err = p.reader.readServers(context.Background(), 2)
	assert.NilError(t, err)
	assert.Equal(t, p.result, Gap)
	assert.DeepEqual(t, idsOf(lagging), []string{"a"})
	p.sendSnapshot(t)
	assert.DeepEqual(t, idsOf(lagging), []string{"a", "b", "c"})
	assert.Equal(t, lagging.Apply(Update{
		Reader:   "other",
		Position: 2,
		Full:     true,
	}), Outdated)
	assert.DeepEqual(t, idsOf(lagging), []string{"a", "b", "c"})
}

// TestStaleAnswer checks that a store response older than the current state doesn't
// bring back a removed server.
func TestStaleAnswer(t *testing.T) {
	source := &scriptedSource{pages: []ServersPage{page(5, true, "a", "b"), gone(page(7, false), "a"), page(6, true, "a", "b")}}
	w := New(source, Periods{}, logr.Discard())
	for _, after := range []int64{0, 5} {
		_, err := w.readServers(context.Background(), after)
		assert.NilError(t, err)
	}
	_, err := w.readServers(context.Background(), 0)
	assert.ErrorIs(t, err, errStale)
	assert.DeepEqual(t, idsOf(w), []string{"b"})
}

// TestFollowsReaderRole checks that a host reads each list once, and then only while it is a
// reader; after a break it reads the full list.
func TestFollowsReaderRole(t *testing.T) {
	w := New(&scriptedSource{}, Periods{Retry: time.Millisecond}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	reads := make(chan int64, 10)
	isReader := make(chan bool, 1)
	isReader <- false
	w.SetShouldRead(func() bool {
		now := <-isReader
		isReader <- true
		return now
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.follow(ctx, "list", fixedPause(0), func(_ context.Context, after int64) (int64, error) {
			reads <- after
			if len(reads) == cap(reads) {
				cancel()
			}
			return after + 10, nil
		})
	}()
	<-done
	assert.DeepEqual(t, []int64{<-reads, <-reads, <-reads}, []int64{0, 0, 10})
}

// TestHostsPause checks that the list of hosts is read more often while it is empty.
func TestHostsPause(t *testing.T) {
	w := New(&scriptedSource{}, Periods{Hosts: time.Second}, logr.Discard())
	assert.Equal(t, w.hostsPause(), roleCheckInterval)
	w.mergeHosts(HostsPage{Hosts: []listing.Host{{Name: "a"}}})
	assert.Equal(t, w.hostsPause(), time.Second)
}

// TestHostsReadTooLate guards against hosts that start together and don't know each other for a
// second, because they read the list of hosts before the others had written their rows.
func TestHostsReadTooLate(t *testing.T) {
	tests := []struct {
		name    string
		listed  []string
		elapsed time.Duration // since the start
		quick   bool
	}{
		{
			name:    "no rows",
			elapsed: time.Hour,
			quick:   true,
		},
		{
			name:   "only another host's row",
			listed: []string{"other"},
			quick:  true,
		},
		{
			name:   "the own row",
			listed: []string{"other", "self"},
		},
		{
			name:    "the own row can't be written",
			listed:  []string{"other"},
			elapsed: startPeriod,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New(&scriptedSource{}, Periods{Hosts: time.Minute}, logr.Discard())
			w.address, w.startedAt = "self", time.Now().Add(-test.elapsed)
			for _, address := range test.listed {
				w.hosts[address] = listing.Host{
					Name:    address,
					Address: address,
				}
			}
			assert.Equal(t, w.hostsPause() < time.Minute, test.quick)
		})
	}
}

// TestTooManyChangesReadForever guards against a read of changes that is repeated without end,
// though their number will not become smaller.
func TestTooManyChangesReadForever(t *testing.T) {
	w := New(&scriptedSource{}, Periods{Retry: time.Millisecond}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	var reads []int64
	w.follow(ctx, "list", fixedPause(0), func(_ context.Context, after int64) (int64, error) {
		reads = append(reads, after)
		switch len(reads) {
		case 2:
			return 0, ErrTooManyChanges
		case 4:
			cancel()
		}
		return after + 10, nil
	})
	assert.DeepEqual(t, reads, []int64{0, 10, 0, 10})
}

// TestOddEntryLoggedAgain guards against a line for each read of an entry that stays odd.
func TestOddEntryLoggedAgain(t *testing.T) {
	odd := func(position int64, full bool, version int64) ServersPage {
		p := page(position, full, "b")
		p.Invalid = []InvalidEntry{{
			Key:     "a",
			Version: version,
			Err:     errors.New("odd"),
		}}
		return p
	}
	tests := []struct {
		name  string
		pages []ServersPage
		want  int // lines
	}{
		{
			name:  "full reads",
			pages: []ServersPage{odd(1, true, 1), odd(2, true, 1), odd(3, true, 1)},
			want:  1,
		},
		{
			name:  "written again",
			pages: []ServersPage{odd(1, true, 1), odd(2, false, 2), odd(3, true, 2)},
			want:  2,
		},
		{
			name:  "good meanwhile",
			pages: []ServersPage{odd(1, true, 1), page(2, false, "a"), odd(3, false, 3), odd(4, true, 3)},
			want:  2,
		},
		{
			name:  "deleted meanwhile",
			pages: []ServersPage{odd(1, true, 1), gone(page(2, false), "a"), odd(3, true, 3)},
			want:  2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lines := 0
			log := funcr.New(func(_, args string) {
				if strings.Contains(args, "invalid store entry") {
					lines++
				}
			}, funcr.Options{})
			w := New(&scriptedSource{pages: test.pages}, Periods{}, log)
			for i := range test.pages {
				_, err := w.readServers(context.Background(), int64(i))
				assert.NilError(t, err)
			}
			assert.Equal(t, lines, test.want)
		})
	}
}

// TestOddEntryKeepsServer guards against a backend server that stays in use while its entry is
// odd, or isn't used once it is good again.
func TestOddEntryKeepsServer(t *testing.T) {
	odd := page(2, false)
	odd.Invalid = []InvalidEntry{{
		Key: "a",
		Err: errors.New("odd"),
	}}
	source := &scriptedSource{pages: []ServersPage{page(1, true, "a", "b"), odd, page(3, false, "a")}}
	w := New(source, Periods{}, logr.Discard())
	for i, want := range [][]string{{"a", "b"}, {"b"}, {"a", "b"}} {
		_, err := w.readServers(context.Background(), int64(i))
		assert.NilError(t, err)
		assert.DeepEqual(t, idsOf(w), want)
	}
}

// TestUnknownServiceServed guards against backend servers of services that no configuration has:
// a host keeps state for each service for good.
func TestUnknownServiceServed(t *testing.T) {
	configOf := func(version int, services []string, routes ...string) route.Config {
		c := route.Config{
			Version:  version,
			Services: services,
		}
		for _, service := range routes {
			c.Routes = append(c.Routes, route.Route{Service: service})
		}
		return c
	}
	source := &scriptedSource{pages: []ServersPage{{
		Position: 1,
		Full:     true,
		Servers: []listing.Server{
			{
				ID:      "a",
				Service: "s",
			},
			{
				ID:      "b",
				Service: "t",
			},
			{
				ID:      "c",
				Service: "odd",
			},
		},
	}}}
	w := New(source, Periods{}, logr.Discard())
	var listed [][]string
	w.OnServers(func(servers []listing.Server) {
		ids := []string{}
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
		listed = append(listed, ids)
	})
	_, err := w.readServers(context.Background(), 0)
	assert.NilError(t, err)
	for _, c := range []route.Config{
		configOf(1, []string{"s"}),
		configOf(2, []string{"s"}, "s"),
		configOf(3, []string{"s"}, "s", "t"),
		configOf(2, []string{"odd"}),
		configOf(4, []string{"s", "t"}),
	} {
		w.Offer(c, nil, "store")
	}
	assert.DeepEqual(t, listed, [][]string{{"a", "b", "c"}, {"a"}, {"a", "b"}})
	assert.Equal(t, len(w.Snapshot().Servers), 3)
}

// pollSource is a Source whose configuration changes with its third read. It records how long
// reads may wait.
type pollSource struct {
	scriptedSource

	waits []time.Duration
}

func (s *pollSource) Config(_ context.Context, after int64, wait time.Duration) (ConfigPage, error) {
	s.waits = append(s.waits, wait)
	page := ConfigPage{
		Position: after + 1,
		Full:     after == 0,
	}
	if len(s.waits) == 3 {
		page.Config = route.Config{Version: 2}
	}
	return page, nil
}

// TestHostsPollInOnePhase guards against hosts whose reads of the configuration all end at the same
// time, as they have read the same change together: a loss of all connections then makes all of
// them late, or none.
func TestHostsPollInOnePhase(t *testing.T) {
	const (
		hosts = 8
		reads = 5
		poll  = time.Second
	)
	rng := rand.New(rand.NewPCG(1, 1))
	waits := [reads][]time.Duration{}
	for range hosts {
		source := &pollSource{}
		w := New(source, Periods{Poll: poll}, logr.Discard())
		w.SetDraw(rng.Float64)
		position := int64(0)
		for range reads {
			var err error
			position, err = w.readConfig(t.Context(), position)
			assert.NilError(t, err)
		}
		for i, wait := range source.waits {
			waits[i] = append(waits[i], wait)
		}
	}
	for i, all := range waits {
		spread := slices.Max(all) - slices.Min(all)
		switch i {
		case 1, 3: // after the first read and the change
			assert.Assert(t, spread > poll/2, "read %d: %s", i, all)
		default:
			assert.Equal(t, spread, time.Duration(0), "read %d: %s", i, all)
		}
		assert.Assert(t, slices.Max(all) <= poll)
	}
}
