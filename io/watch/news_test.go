package watch

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/route"
)

// script is a source that gives pages of backend servers one after the other.
type script struct{ pages []ServersPage }

func (s *script) Config(context.Context, int64, time.Duration) (ConfigPage, error) {
	return ConfigPage{}, nil
}

func (s *script) Servers(context.Context, int64, time.Duration) (ServersPage, error) {
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

func (s *script) Hosts(context.Context, int64, time.Duration) (HostsPage, error) {
	return HostsPage{}, nil
}
func (s *script) Decode([]byte) (route.Config, error)          { return route.Config{}, nil }
func (s *script) Announce(context.Context, listing.Host) error { return nil }

// page lists backend servers by ID.
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
	p.Gone = ids
	return p
}

func idsOf(w *Watcher) []string {
	ids := []string{}
	for _, s := range w.All().Servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// pair is a host that reads and one that hears of it.
type pair struct {
	reader *Watcher
	source *script
	hearer *Watcher
	heard  Heard
}

func newPair(pages ...ServersPage) *pair {
	p := &pair{source: &script{pages: pages}}
	p.reader = New(p.source, Periods{Return: time.Second}, logr.Discard())
	p.hearer = New(&script{}, Periods{Return: time.Second}, logr.Discard())
	p.reader.OnRead(func(n News) {
		n.Reader = "reader"
		p.heard = p.hearer.Hear(n)
	})
	return p
}

// all makes the hearer take all that the reader knows.
func (p *pair) all(t *testing.T) {
	t.Helper()
	n := p.reader.All()
	n.Reader = "reader"
	assert.Equal(t, p.hearer.Hear(n), Taken)
}

// TestNews: a host that hears what another one reads knows the same.
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
					assert.Equal(t, p.heard, Missing, "news before a host has it all")
					p.all(t)
					continue
				}
				assert.Equal(t, p.heard, Taken)
			}
			assert.DeepEqual(t, idsOf(p.hearer), test.want)
			assert.DeepEqual(t, idsOf(p.reader), test.want)
		})
	}
}

// TestNewsMissed: a host that missed news notices, and takes no older ones.
func TestNewsMissed(t *testing.T) {
	p := newPair(page(1, true, "a"), page(2, false, "b"), page(3, false, "c"))
	_, err := p.reader.readServers(context.Background(), 0)
	assert.NilError(t, err)
	p.all(t)
	hear := p.hearer
	p.hearer = New(&script{}, Periods{}, logr.Discard()) // The news get lost on their way.
	_, err = p.reader.readServers(context.Background(), 1)
	assert.NilError(t, err)
	p.hearer = hear
	_, err = p.reader.readServers(context.Background(), 2)
	assert.NilError(t, err)
	assert.Equal(t, p.heard, Missing)
	assert.DeepEqual(t, idsOf(hear), []string{"a"})
	p.all(t)
	assert.DeepEqual(t, idsOf(hear), []string{"a", "b", "c"})
	assert.Equal(t, hear.Hear(News{
		Reader:   "other",
		Position: 2,
		Whole:    true,
	}), Older)
	assert.DeepEqual(t, idsOf(hear), []string{"a", "b", "c"})
}

// TestStaleAnswer: an answer of the store that is older than what is known brings
// no server back.
func TestStaleAnswer(t *testing.T) {
	source := &script{pages: []ServersPage{page(5, true, "a", "b"), gone(page(7, false), "a"), page(6, true, "a", "b")}}
	w := New(source, Periods{}, logr.Discard())
	for _, after := range []int64{0, 5} {
		_, err := w.readServers(context.Background(), after)
		assert.NilError(t, err)
	}
	_, err := w.readServers(context.Background(), 0)
	assert.ErrorIs(t, err, errStale)
	assert.DeepEqual(t, idsOf(w), []string{"b"})
}

// TestFollowsDuty: a host reads each list once, and then only while that is its duty.
func TestFollowsDuty(t *testing.T) {
	w := New(&script{}, Periods{Retry: time.Millisecond}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	reads := make(chan int64, 10)
	duty := make(chan bool, 1)
	duty <- false
	w.SetDuty(func() bool {
		now := <-duty
		duty <- true
		return now
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.follow(ctx, "list", always(0), func(_ context.Context, after int64) (int64, error) {
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

// TestHostsPause: the list of hosts is read again soon while it is empty.
func TestHostsPause(t *testing.T) {
	w := New(&script{}, Periods{Hosts: time.Second}, logr.Discard())
	assert.Equal(t, w.hostsPause(), dutyPause)
	w.mergeHosts(HostsPage{Hosts: []listing.Host{{Name: "a"}}})
	assert.Equal(t, w.hostsPause(), time.Second)
}
