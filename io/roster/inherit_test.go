package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// TestInheritedRows guards against a host that counts other hosts, or itself, longer than the
// host from which it has the rows: of two that read the rows since, both might have a majority.
func TestInheritedRows(t *testing.T) {
	const hosts, steps = 6, 120
	for draw := range 50 {
		rng := rand.New(rand.NewPCG(1, uint64(draw)))
		h := newHalves()
		heir := hostRows{
			staleAfter: h.left.staleAfter,
			forget:     h.left.forget,
			unlisted:   h.left.unlisted,
			outdated:   h.left.outdated,
		}
		inheritAt := 20 + rng.IntN(60)
		counts := make([]int, hosts)
		for step := range steps {
			seconds := float64(step) / 2
			if step <= inheritAt-5 || step > inheritAt+20 { // the store answers
				var rows []listing.Host
				for i := range hosts {
					if rng.IntN(30) > i*5 {
						counts[i]++
					}
					if counts[i]%7 < 6 { // its row is not missing
						rows = append(rows, listing.Host{
							Name:           fmt.Sprint(i),
							Address:        fmt.Sprint(i),
							Domain:         fmt.Sprint(i % 2),
							HeartbeatCount: counts[i],
						})
					}
				}
				h.left.update(h.at(seconds), rows)
				if step > inheritAt {
					heir.update(h.at(seconds), rows)
				}
			}
			if step == inheritAt {
				heir.inherit(h.at(seconds), h.left.toWire(h.at(seconds)))
			}
			if step < inheritAt {
				continue
			}
			assert.DeepEqual(t, sorted(heir.electorate()), sorted(h.left.electorate()))
			assert.DeepEqual(t, sorted(heir.current()), sorted(h.left.current()))
			for i := range hosts {
				address := fmt.Sprint(i)
				assert.Equal(t, heir.isUnlisted(h.at(seconds), address), h.left.isUnlisted(h.at(seconds), address))
			}
		}
	}
}

func sorted(hosts []listing.Host) []string {
	addresses := []string{}
	for _, h := range hosts {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// heirPeers answers the requests of a host for lists.
type heirPeers struct{ answers map[string]*listSharer }

func (heirPeers) Send(context.Context, string, wire.Frame) error { return nil }
func (heirPeers) Reachable(string)                               {}

func (p heirPeers) Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error) {
	if p.answers[address] == nil {
		return wire.Frame{}, errors.Errorf("no host at %s", address)
	}
	answer, _ := p.answers[address].serve(ctx, f)
	return answer, nil
}

func newSharer(address string, peers Peers, hosts ...string) *listSharer {
	model := member.New(member.Host{
		Incarnation: address,
		Address:     address,
		Domain:      "d",
	}, member.Limits{DeadAfter: time.Hour}, rand.New(rand.NewPCG(1, 1)))
	for _, other := range hosts {
		model.Update(time.Now(), member.HeartbeatMsg{From: member.Host{
			Incarnation: other,
			Address:     other,
			Domain:      "d",
		}})
	}
	l := &listSharer{
		peers:   peers,
		roster:  New(model, peers, time.Second, 6*time.Second, 100, 100, 100, telemetry.NewCounters(telemetry.NewRegistry()), logr.Discard()),
		watcher: watch.New(nil, watch.Periods{}, logr.Discard()),
		log:     logr.Discard(),
	}
	l.watcher.OnHostsRead(l.roster.setHostsRead)
	return l
}

// TestStartInOutage guards against a host that starts while the store doesn't answer and is made
// a home without backend servers and votes, and against one that trusts lists without their age.
func TestStartInOutage(t *testing.T) {
	tests := []struct {
		name     string
		outage   time.Duration // since when nobody read the store
		blank    bool          // the other host has read nothing
		servers  int
		needed   int
		unlisted bool
	}{
		{
			name:    "read just before",
			outage:  time.Second,
			servers: 1,
			needed:  3,
		},
		{
			name:     "read too long ago",
			outage:   7 * time.Second,
			servers:  1,
			needed:   5,
			unlisted: true,
		},
		{
			name:     "read by nobody",
			outage:   time.Second,
			blank:    true,
			unlisted: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				older := newSharer("older", heirPeers{})
				if !test.blank {
					older.watcher.Apply(watch.Update{
						Position: 7,
						Full:     true,
						Servers:  []listing.Server{{ID: "s"}},
						Hosts: []listing.Host{
							{
								Name:    "older",
								Address: "older",
								Domain:  "d",
							},
							{
								Name:    "young",
								Address: "young",
								Domain:  "d",
							},
						},
					})
				}
				time.Sleep(test.outage)
				young := newSharer("young", heirPeers{answers: map[string]*listSharer{"older": older}}, "gone", "older")
				ctx, cancel := context.WithTimeout(t.Context(), 3*inheritInterval)
				defer cancel()
				young.inherit(ctx)
				view := young.roster.View(nil)
				assert.Equal(t, len(young.watcher.Snapshot().Servers), test.servers)
				assert.Equal(t, view.NeededVotes(), test.needed)
				assert.Equal(t, view.Unlisted, test.unlisted)
			})
		})
	}
}

// TestMalformedRows guards against lists that are inherited although parts of them make no sense.
func TestMalformedRows(t *testing.T) {
	tests := []struct {
		name string
		edit func(*wire.Listing)
	}{
		{
			name: "not whole",
			edit: func(l *wire.Listing) { l.Whole = false },
		},
		{
			name: "no rows",
			edit: func(l *wire.Listing) { l.Rows = nil },
		},
		{
			name: "rows from the future",
			edit: func(l *wire.Listing) { l.Rows.Read = -1 },
		},
		{
			name: "a row that changed after the last read",
			edit: func(l *wire.Listing) { l.Rows.Rows[0].Changed = 0 },
		},
		{
			name: "a row without an address",
			edit: func(l *wire.Listing) { l.Rows.Rows[0].Address = "" },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lists := &wire.Listing{
				Whole:    true,
				Position: 1,
				Rows: &wire.HostRows{
					Read:  1,
					First: 1,
					Rows: []wire.HostRow{{
						Name:    "a",
						Address: "a:1",
						Changed: 1,
						After:   1,
					}},
				},
			}
			assert.NilError(t, checkInherited(lists))
			test.edit(lists)
			assert.Assert(t, checkInherited(lists) != nil)
		})
	}
}
