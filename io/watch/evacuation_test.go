package watch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/evacuation"
	"rosemarywalk/core/listing"
)

// evacuationSource is a Source that gives each answer to a read of the configuration in turn.
type evacuationSource struct {
	scriptedSource

	answers []evacuationAnswer
	done    func()
}

type evacuationAnswer struct {
	page      ConfigPage
	err       error
	evacuated string // sorted domains of the servers marked after it
}

func (s *evacuationSource) Config(_ context.Context, _ int64, _ time.Duration) (ConfigPage, error) {
	answer := s.answers[0]
	if s.answers = s.answers[1:]; len(s.answers) == 0 {
		s.done()
	}
	return answer.page, answer.err
}

func evacuationPage(position int64, full bool, changes ...evacuation.Change) ConfigPage {
	return ConfigPage{
		Position:    position,
		Full:        full,
		Evacuations: changes,
	}
}

func change(domain string, position int64, evacuated bool) evacuation.Change {
	return evacuation.Change{
		Domain:    domain,
		Position:  position,
		Evacuated: evacuated,
	}
}

// TestEvacuationsFollowed checks that the servers of evacuated failure domains are marked as the
// feed says, also after the store has lost its history or was down, and that a host that can't
// read keeps what it knew.
func TestEvacuationsFollowed(t *testing.T) {
	tests := []struct {
		name    string
		answers []evacuationAnswer
	}{
		{
			name: "evacuated and taken back",
			answers: []evacuationAnswer{
				{page: evacuationPage(1, true)},
				{
					page:      evacuationPage(3, false, change("a", 2, true)),
					evacuated: "a",
				},
				{
					page:      evacuationPage(5, false, change("b", 4, true)),
					evacuated: "a,b",
				},
				{
					page:      evacuationPage(7, false, change("a", 6, false)),
					evacuated: "b",
				},
				{page: evacuationPage(9, false, change("b", 8, false))},
			},
		},
		{
			name: "evacuated at the start",
			answers: []evacuationAnswer{{
				page:      evacuationPage(4, true, change("b", 2, true)),
				evacuated: "b",
			}},
		},
		{
			name: "taken back while history was lost",
			answers: []evacuationAnswer{
				{
					page:      evacuationPage(4, true, change("b", 2, true)),
					evacuated: "b",
				},
				{
					err:       ErrCompacted,
					evacuated: "b",
				},
				{
					page:      evacuationPage(9, true, change("a", 8, true)),
					evacuated: "a",
				},
			},
		},
		{
			name: "store down",
			answers: []evacuationAnswer{
				{
					page:      evacuationPage(4, true, change("b", 2, true)),
					evacuated: "b",
				},
				{
					err:       errStale,
					evacuated: "b",
				},
				{page: evacuationPage(9, false, change("b", 8, false))},
			},
		},
		{
			name: "an old answer of a store that was down",
			answers: []evacuationAnswer{
				{page: evacuationPage(9, true)},
				{page: evacuationPage(4, true, change("b", 2, true))},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			source := &evacuationSource{answers: test.answers}
			ctx, cancel := context.WithCancel(t.Context())
			source.done = cancel
			w := New(source, Periods{Retry: time.Millisecond}, logr.Discard())
			marked := watchEvacuated(w, "a", "b")
			reads := 0
			w.follow(ctx, listConfig, fixedPause(0), func(ctx context.Context, after int64) (int64, error) {
				position, err := w.readConfig(ctx, after)
				assert.Equal(t, marked(), test.answers[reads].evacuated, "after read %d", reads)
				reads++
				return position, err
			})
			assert.Equal(t, reads, len(test.answers))
		})
	}
}

// watchEvacuated lists a server in each failure domain, and returns a function that returns
// which of them were last passed on as evacuated.
func watchEvacuated(w *Watcher, domains ...string) func() string {
	p := ServersPage{
		Position: 1,
		Full:     true,
	}
	for _, domain := range domains {
		p.Servers = append(p.Servers, listing.Server{
			ID:      "server-" + domain,
			Service: "s",
			Domain:  domain,
		})
	}
	marked := ""
	w.OnServers(func(servers []listing.Server) {
		var names []string
		for _, s := range servers {
			if s.Evacuated {
				names = append(names, s.Domain)
			}
		}
		marked = strings.Join(names, ",")
	})
	_, _ = w.mergeServers(p)
	return func() string { return marked }
}

// TestEvacuationsFromPeers checks that a host takes the later one of what the store and the other
// hosts say, and nothing at all if it is set to ignore it.
func TestEvacuationsFromPeers(t *testing.T) {
	w := New(&scriptedSource{}, Periods{}, logr.Discard())
	marked := watchEvacuated(w, "a", "b")
	for _, step := range []struct {
		offered evacuation.Domains
		want    string
	}{
		{
			offered: evacuation.New(5, []string{"a"}),
			want:    "a",
		},
		{
			offered: evacuation.New(4, []string{"b"}),
			want:    "a",
		},
		{
			offered: evacuation.New(7, nil),
			want:    "",
		},
		{
			offered: evacuation.New(5, []string{"a"}),
			want:    "",
		},
	} {
		w.OfferEvacuated(step.offered, "peer")
		assert.Equal(t, marked(), step.want)
	}
	w.evacuates = false
	w.OfferEvacuated(evacuation.New(9, []string{"a"}), "peer")
	assert.Equal(t, marked(), "")
	assert.Assert(t, !w.Evacuated().Has("a"))
}
