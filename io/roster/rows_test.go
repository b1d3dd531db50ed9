package roster

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/owner"
	"rosemarywalk/io/watch"
)

// TestHostRows checks that a host counts as live while its row's counter changes
// between reads, and that rows don't age without a read, as in an outage of the store.
func TestHostRows(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		after time.Duration // time of the second read after the first; 0 means no second read
		count int           // counter at the second read
		want  int
	}{
		{
			name: "read once",
			want: 1,
		},
		{
			name:  "the counter changed",
			after: time.Minute,
			count: 2,
			want:  1,
		},
		{
			name:  "the counter is unchanged for longer than the limit",
			after: time.Minute,
			count: 1,
		},
		{
			name:  "the counter is unchanged for less than the limit",
			after: time.Second,
			count: 1,
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New(member.New(member.Host{Address: "self"}, member.Limits{}, rand.New(rand.NewPCG(1, 1))), nil, time.Second, 6*time.Second, 100, 100, 100, nil, logr.Discard())
			host := listing.Host{
				Name:           "a",
				Address:        "a:1",
				HeartbeatCount: 1,
			}
			r.rows.update(start, []listing.Host{host})
			if test.after > 0 {
				host.HeartbeatCount = test.count
				r.rows.update(start.Add(test.after), []listing.Host{host})
			}
			assert.Equal(t, len(r.View(nil).Listed), test.want)
		})
	}
}

// TestReplacedHostsNeedVotes guards against rows of removed hosts that stay in the store: after a
// restart of all processes no home has a majority until each process has forgotten them.
func TestReplacedHostsNeedVotes(t *testing.T) {
	const (
		hosts        = 7
		replacements = 200
		interval     = 10 // seconds between replacements
		reads        = 1  // seconds between reads
		forget       = 21
	)
	h := newHalves()
	store := map[string]listing.Host{}
	views := map[string]*hostRows{}
	start := func(address string) {
		view := h.left
		view.byName = map[string]row{}
		views[address] = &view
	}
	live := []string{}
	for i := range hosts {
		live = append(live, fmt.Sprint("host-", i))
		start(live[i])
	}
	heard := func(address string) bool { return slices.Contains(live, address) }
	most := 0
	for second := 0; second < replacements*interval; second += reads {
		if second%interval == 0 {
			delete(views, live[0])
			live = append(live[1:], fmt.Sprint("new-", second))
			start(live[hosts-1])
		}
		for _, address := range live {
			store[address] = listing.Host{
				Name:           address,
				Address:        address,
				Domain:         "d",
				HeartbeatCount: second,
			}
		}
		for rank, address := range live {
			view := views[address]
			view.update(h.at(float64(second)), slices.Collect(maps.Values(store)))
			for _, abandoned := range view.abandoned(rank, heard) {
				assert.Assert(t, !heard(abandoned.Address))
				delete(store, abandoned.Name)
			}
		}
		most = max(most, len(store))
	}
	assert.Assert(t, most <= hosts+forget/interval+1, "%d rows", most)
	restarted := h.right
	restarted.update(h.at(0), slices.Collect(maps.Values(store)))
	v := owner.View{
		Electorate: restarted.electorate(),
		Current:    restarted.current(),
	}
	for _, address := range live {
		v.Hosts = append(v.Hosts, member.Host{Address: address})
	}
	assert.Assert(t, v.HeardVotes("d") >= v.NeededVotes(), "%d votes of %d", v.HeardVotes("d"), v.NeededVotes())
}

// TestRowOfLiveHostAbandoned guards against the removal of a row whose host is alive or may be
// counted somewhere.
func TestRowOfLiveHostAbandoned(t *testing.T) {
	const (
		begin  = 10.0
		step   = 0.5
		forget = 21.0
	)
	tests := []struct {
		name   string
		rank   int
		moves  bool    // the row does
		heard  bool    // the host is
		other  bool    // its address has another row that moves
		outage float64 // when reads of the store begin again, or 0
		want   float64 // when the row is abandoned, or 0
	}{
		{
			name: "removed host",
			want: begin + forget,
		},
		{
			name: "at the third host of the failure domain",
			rank: 2,
			want: begin + forget + 2*removeRankDelay.Seconds(),
		},
		{
			name:  "live host",
			moves: true,
			heard: true,
		},
		{
			name:  "host that isn't heard",
			moves: true,
		},
		{
			name:  "host that can't write its row",
			heard: true,
		},
		{
			name:  "former name of a live host",
			heard: true,
			other: true,
			want:  begin + forget,
		},
		{
			name:   "outage of the store",
			outage: begin + 3*forget,
			want:   begin + 4*forget - 6,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHalves()
			abandonedAt := 0.0
			for now := 0.0; now < 6*forget; now += step {
				if now > begin && now < test.outage {
					continue
				}
				until := map[string]float64{
					"a": 6 * forget,
					"b": begin,
				}
				if test.moves {
					until["b"] = 6 * forget
				}
				rows := rowsAt(now, until)
				if test.other {
					rows = append(rows, listing.Host{
						Name:           "renamed",
						Address:        "b",
						Domain:         "left",
						HeartbeatCount: int(now / step),
					})
				}
				h.left.update(h.at(now), rows)
				abandoned := h.left.abandoned(test.rank, func(address string) bool { return address != "b" || test.heard })
				if len(abandoned) > 0 && abandonedAt == 0 {
					assert.Equal(t, abandoned[0].Name, "b")
					abandonedAt = now
				}
			}
			assert.Equal(t, abandonedAt, test.want)
		})
	}
}

// TestRemovedRowsTwoMajorities guards against two homes with a majority at once, as one of them
// has just started and reads the rows without those of hosts that others still count.
func TestRemovedRowsTwoMajorities(t *testing.T) {
	const (
		cut  = 10.0 // when hosts a and b lose the store and the other hosts
		end  = 60.0
		step = 0.5
	)
	h := newHalves()
	var started *hostRows
	removed := map[string]bool{}
	both, majority := 0, false
	for now := 0.0; now < end; now += step {
		rows := slices.DeleteFunc(rowsAt(now, map[string]float64{
			"a": cut,
			"b": cut,
			"c": end,
		}), func(host listing.Host) bool { return removed[host.Name] })
		if now <= cut {
			h.left.update(h.at(now), rows)
		}
		h.right.update(h.at(now), rows)
		if started != nil {
			started.update(h.at(now), rows)
			majority = h.hasMajority(started, now, "right", "c", "c")
		}
		if majority && h.hasMajority(&h.left, now, "left", "b", "a", "b") {
			both++
		}
		for _, host := range h.right.abandoned(0, func(address string) bool { return address == "c" }) {
			removed[host.Name] = true
			view := newHalves().left
			started = &view
		}
	}
	assert.Equal(t, len(removed), 2)
	assert.Assert(t, majority, "the new process has no majority")
	assert.Equal(t, both, 0, "steps of %g s", step)
}

// TestAbandonedRowsRemoved checks which hosts remove rows, and that one row that has changed
// doesn't keep the others.
func TestAbandonedRowsRemoved(t *testing.T) {
	tests := []struct {
		name     string
		stopping bool
		unlisted bool // the host's own row doesn't move
		result   error
		want     int
	}{
		{
			name: "listed",
			want: maxRemovals,
		},
		{
			name:   "rows have changed",
			result: watch.ErrRowChanged,
			want:   maxRemovals,
		},
		{
			name:   "the store doesn't answer",
			result: errors.New("no answer"),
			want:   1,
		},
		{
			name:     "stopping",
			stopping: true,
		},
		{
			name:     "unlisted",
			unlisted: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			self := member.Host{
				Address: "self",
				Domain:  "d",
			}
			r := New(member.New(self, member.Limits{}, rand.New(rand.NewPCG(1, 1))), nil, time.Second, 6*time.Second, 100, 100, 100, nil, logr.Discard())
			for second := 30; second >= 0; second-- {
				rows := []listing.Host{{
					Name:           "self",
					Address:        "self",
					Domain:         "d",
					HeartbeatCount: second,
				}}
				if test.unlisted {
					rows[0].HeartbeatCount = 1
				}
				for i := range 2 * maxRemovals {
					rows = append(rows, listing.Host{
						Name:    fmt.Sprint("gone-", i),
						Address: fmt.Sprint("gone-", i),
						Domain:  "d",
					})
				}
				r.rows.update(time.Now().Add(-time.Duration(second)*time.Second), rows)
			}
			if test.stopping {
				r.model.Update(time.Now(), member.StopMsg{})
			}
			calls := 0
			r.removeAbandoned(t.Context(), func(_ context.Context, h listing.Host) error {
				assert.Assert(t, h.Name != "self")
				calls++
				return test.result
			})
			assert.Equal(t, calls, test.want)
		})
	}
}
