package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/owner"
)

// halves are two failure domains of two hosts each, cut off from one another. Each half reads
// the rows of all hosts.
type halves struct {
	begin time.Time
	left  hostRows // as read by host b, which hears a
	right hostRows // as read by host c, which hears d and e
}

// maxReadAge is that of newHalves. TestLongerOutages tries others.
var maxReadAge = 6 * time.Second

func newHalves() *halves {
	return &halves{
		begin: time.Now(),
		left:  newHostRows(6*time.Second, maxReadAge),
		right: newHostRows(6*time.Second, maxReadAge),
	}
}

// TestLongerOutages guards against two homes with a majority at once where hosts vote for longer
// without reading the rows.
func TestLongerOutages(t *testing.T) {
	tests := []struct {
		name string
		test func(*testing.T)
	}{
		{
			name: "rows read long ago",
			test: TestRowsReadLongAgoTwoMajorities,
		},
		{
			name: "rows forgotten in an outage",
			test: TestRowsForgottenInOutage,
		},
		{
			name: "deleted rows",
			test: TestDeletedRowsTwoMajorities,
		},
		{
			name: "a host that moved",
			test: TestMovedHostTwoMajorities,
		},
		{
			name: "hosts that returned",
			test: TestReturnedHostTwoMajorities,
		},
		{
			name: "removed rows",
			test: TestRemovedRowsTwoMajorities,
		},
		{
			name: "inherited rows",
			test: TestInheritedRows,
		},
	}
	for _, age := range []time.Duration{3 * time.Second, 9 * time.Second, 12 * time.Second} {
		for _, test := range tests {
			t.Run(age.String()+" "+test.name, func(t *testing.T) {
				before := maxReadAge
				defer func() { maxReadAge = before }()
				maxReadAge = age
				test.test(t)
			})
		}
	}
}

func (h *halves) at(seconds float64) time.Time {
	return h.begin.Add(time.Duration(seconds * float64(time.Second)))
}

// rowsAt returns the rows at a time, each with the time until which its host wrote it.
func rowsAt(seconds float64, until map[string]float64) []listing.Host {
	const (
		domainOfLeft = "left"
		lastOfLeft   = "b"
	)
	var hosts []listing.Host
	for name, end := range until {
		host := listing.Host{
			Name:           name,
			Address:        name,
			Domain:         "right",
			HeartbeatCount: int(10 * (100 + min(seconds, end))),
		}
		if name <= lastOfLeft {
			host.Domain = domainOfLeft
		}
		hosts = append(hosts, host)
	}
	return hosts
}

func (h *halves) hasMajority(rows *hostRows, seconds float64, domain, self string, heard ...string) bool {
	v := owner.View{
		Electorate: rows.electorate(),
		Current:    rows.current(),
		Unlisted:   rows.isUnlisted(h.at(seconds), self),
	}
	for _, address := range heard {
		v.Hosts = append(v.Hosts, member.Host{Address: address})
	}
	return v.HeardVotes(domain) >= v.NeededVotes()
}

// TestGhostRowsNeedVotes guards against rows that need votes though no host can give them:
// several of one address, at which at most one process listens.
func TestGhostRowsNeedVotes(t *testing.T) {
	h := newHalves()
	rows := rowsAt(0, map[string]float64{
		"a": 0,
		"b": 0,
		"c": 0,
	})
	for _, name := range []string{"ghost-1", "ghost-2", "ghost-3", "ghost-4", "ghost-5"} {
		rows = append(rows, listing.Host{
			Name:    name,
			Address: "ghost",
			Domain:  "left",
		})
	}
	h.left.update(h.at(0), rows)
	v := owner.View{Electorate: h.left.electorate()}
	assert.Equal(t, v.NeededVotes(), 5)
}

// TestHostCountedTwice guards against two homes with a majority at once, as one host counts for
// each row that has its address, such as one of its former name.
func TestHostCountedTwice(t *testing.T) {
	tests := []struct {
		name   string
		hosts  []string
		domain string   // of the other row of host a
		left   []string // heard by the home of the left half
		right  []string
	}{
		{
			name:   "in one failure domain",
			hosts:  []string{"a", "c", "d", "e"},
			domain: "left",
			left:   []string{"a"},
			right:  []string{"c", "d", "e"},
		},
		{
			name:   "in two failure domains",
			hosts:  []string{"a", "b", "c"},
			domain: "right",
			left:   []string{"a", "b"},
			right:  []string{"a", "c"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHalves()
			until := map[string]float64{}
			for _, name := range test.hosts {
				until[name] = 0
			}
			rows := append(rowsAt(0, until), listing.Host{
				Name:    "former",
				Address: "a",
				Domain:  test.domain,
			})
			h.left.update(h.at(0), rows)
			h.right.update(h.at(0), rows)
			left := h.hasMajority(&h.left, 0, "left", "a", test.left...)
			assert.Assert(t, !left || !h.hasMajority(&h.right, 0, "right", "c", test.right...))
		})
	}
}

// TestGhostRowUnlistsHost guards against a host that takes itself for one which others may not
// count, as another row of its address doesn't move, and against the contrary for a host that
// can't write its row.
func TestGhostRowUnlistsHost(t *testing.T) {
	const lastWrite = 30.0
	h := newHalves()
	unlistedAt, droppedAt := 0.0, 0.0
	for now := 0.0; droppedAt == 0; now += 0.5 {
		rows := append(rowsAt(now, map[string]float64{"a": lastWrite}), listing.Host{
			Name:    "ghost",
			Address: "a",
			Domain:  "left",
		})
		h.left.update(h.at(now), rows)
		for range 20 {
			if unlistedAt == 0 && h.left.isUnlisted(h.at(now), "a") {
				unlistedAt = now
			}
		}
		if len(h.left.electorate()) == 0 {
			droppedAt = now
		}
	}
	assert.Equal(t, unlistedAt, lastWrite-0.5+12)
	assert.Equal(t, droppedAt, lastWrite+21)
}

// TestRowsReadLongAgoTwoMajorities guards against two homes with a majority at once, as one of
// them has not read the rows for some time.
func TestRowsReadLongAgoTwoMajorities(t *testing.T) {
	const (
		lastRead = 10.0 // by the left half
		end      = 30.0
		step     = 0.5
	)
	tests := []struct {
		name    string
		stopped float64 // when host a wrote its row last
		added   float64 // when host e wrote its row first
	}{
		{
			name:    "a host that has stopped writing its row",
			stopped: 0,
			added:   end,
		},
		{
			name:    "a new host",
			stopped: lastRead,
			added:   lastRead + step,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHalves()
			both := 0
			for now := -2 * lastRead; now < end; now += step {
				until := map[string]float64{
					"a": test.stopped,
					"b": lastRead,
					"c": end,
					"d": end,
				}
				if now >= test.added {
					until["e"] = end
				}
				rows := rowsAt(now, until)
				if now <= lastRead {
					h.left.update(h.at(now), rows)
				}
				h.right.update(h.at(now), rows)
				if now > 0 && h.hasMajority(&h.left, now, "left", "b", "a", "b") && h.hasMajority(&h.right, now, "right", "c", "c", "d", "e") {
					both++
				}
			}
			assert.Equal(t, both, 0, "steps of %g s", step)
		})
	}
}

// TestRowsForgottenInOutage guards against two homes with a majority at once after an outage of
// the store, as one of them reads the rows before the hosts of the other have written theirs.
func TestRowsForgottenInOutage(t *testing.T) {
	const (
		begin  = 10.0
		end    = 40.0
		step   = 0.5
		forget = 21.0
	)
	h := newHalves()
	both, dropped := 0, 0.0
	for now := 0.0; now < end+forget+begin; now += step {
		if now > begin && now < end {
			continue
		}
		until := map[string]float64{
			"a": begin,
			"b": begin,
			"c": begin,
			"d": begin,
			"e": begin,
			"f": begin, // lost in the outage
		}
		if now >= end {
			until["a"], until["b"] = now, now
		}
		if now > end {
			until["c"], until["d"], until["e"] = now, now, now
		}
		rows := rowsAt(now, until)
		if now <= end { // later the left half can't read the rows again
			h.left.update(h.at(now), rows)
		}
		if now != end {
			h.right.update(h.at(now), rows)
		}
		if now > end && h.hasMajority(&h.left, now, "left", "b", "a", "b") && h.hasMajority(&h.right, now, "right", "c", "c", "d", "e") {
			both++
		}
		if dropped == 0 && len(h.right.electorate()) < len(until) {
			dropped = now
		}
	}
	assert.Equal(t, both, 0, "steps of %g s", step)
	assert.Assert(t, dropped > end && dropped < end+forget, "host f was dropped at %g s", dropped)
}

// TestDeletedRowsTwoMajorities guards against two homes with a majority at once, as one of them
// reads the rows while some of the other half are not in the store.
func TestDeletedRowsTwoMajorities(t *testing.T) {
	const (
		deleted = 10.0 // when the rows of hosts d and e are deleted
		end     = 40.0
		step    = 0.5
	)
	tests := []struct {
		name      string
		restored  float64 // when they are written again
		leftFirst float64 // first and last read by each half
		leftLast  float64
		rightLast float64
	}{
		{
			name:      "the other half has not read that",
			restored:  end,
			leftLast:  end,
			rightLast: deleted - step,
		},
		{
			name:      "it has just started, and doesn't read that they are written again",
			restored:  deleted + step,
			leftFirst: deleted,
			leftLast:  deleted,
			rightLast: end,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHalves()
			both := 0
			left, right := false, false
			for now := 0.0; now < end; now += step {
				until := map[string]float64{
					"a": end,
					"b": end,
					"c": end,
				}
				if now < deleted || now >= test.restored {
					until["d"], until["e"] = end, end
				}
				rows := rowsAt(now, until)
				if now >= test.leftFirst && now <= test.leftLast {
					h.left.update(h.at(now), rows)
				}
				if now <= test.rightLast {
					h.right.update(h.at(now), rows)
				}
				left = h.hasMajority(&h.left, now, "left", "b", "a", "b")
				right = h.hasMajority(&h.right, now, "right", "c", "c", "d", "e")
				if now >= deleted && left && right {
					both++
				}
			}
			assert.Equal(t, both, 0, "steps of %g s", step)
			assert.Assert(t, left != right, "no half has a majority at the end")
		})
	}
}

// TestDeletedRowLeavesElectorate guards against a row that needs votes for good, and against one
// that gives votes or is taken as listed while it is not in the store.
func TestDeletedRowLeavesElectorate(t *testing.T) {
	const (
		deleted = 10.0
		step    = 0.5
		forget  = 21.0
	)
	h := newHalves()
	dropped := 0.0
	for now := 0.0; dropped == 0; now += step {
		until := map[string]float64{"a": deleted + 2*forget}
		if now < deleted {
			until["b"] = deleted
		}
		h.left.update(h.at(now), rowsAt(now, until))
		assert.Equal(t, h.left.contains("b"), now < deleted)
		assert.Equal(t, len(h.left.alive()), len(until))
		assert.Equal(t, len(h.left.current()), len(until))
		assert.Equal(t, h.left.isUnlisted(h.at(now), "b"), now >= deleted)
		if len(h.left.electorate()) < 2 {
			dropped = now
		}
	}
	assert.Equal(t, dropped, deleted-step+forget)
}

// TestMovedHostTwoMajorities guards against two homes with a majority at once, as one of them
// counts a host at its former address, where its earlier process still runs.
func TestMovedHostTwoMajorities(t *testing.T) {
	const (
		moved = 30.0 // when host e first writes its row from another address
		end   = 60.0
		step  = 0.5
	)
	h := newHalves()
	both, votes := 0, false
	for now := 0.0; now < end; now += step {
		rows := rowsAt(now, map[string]float64{
			"a": end,
			"b": end,
			"c": end,
			"d": end,
		})
		e := listing.Host{
			Name:           "e",
			Address:        "former",
			Domain:         "left",
			HeartbeatCount: int(10 * now),
		}
		if now >= moved {
			e.Address, e.Domain = "e", "right"
		}
		rows = append(rows, e)
		if now < moved {
			h.left.update(h.at(now), rows)
		}
		h.right.update(h.at(now), rows)
		votes = h.hasMajority(&h.right, now, "right", "c", "c", "d", "e")
		if now >= moved && votes && h.hasMajority(&h.left, now, "left", "b", "a", "b", "former") {
			both++
		}
	}
	assert.Equal(t, both, 0, "steps of %g s", step)
	assert.Assert(t, votes, "the host gives no votes")
}

// TestReturnedHostTwoMajorities guards against two homes with a majority at once, as one of them
// has not read that the rows of dropped hosts move again.
func TestReturnedHostTwoMajorities(t *testing.T) {
	const (
		lost     = -30.0 // when hosts d and e wrote their rows last, before they return
		lastRead = 10.0  // by the left half
		end      = 30.0
		step     = 0.5
	)
	h := newHalves()
	both, votes := 0, false
	for now := lost; now < end; now += step {
		until := map[string]float64{
			"a": lastRead,
			"b": lastRead,
			"c": end,
			"d": lost,
			"e": lost,
		}
		if now > lastRead {
			until["d"], until["e"] = end, end
		}
		rows := rowsAt(now, until)
		if now <= lastRead {
			h.left.update(h.at(now), rows)
		}
		h.right.update(h.at(now), rows)
		votes = h.hasMajority(&h.right, now, "right", "c", "c", "d", "e")
		if now > 0 && votes && h.hasMajority(&h.left, now, "left", "b", "a", "b") {
			both++
		}
	}
	assert.Equal(t, both, 0, "steps of %g s", step)
	assert.Assert(t, votes, "the hosts that have returned give no votes")
}

// TestHeartbeatWithoutFirstHome guards against heartbeats that don't say which host their sender
// takes as the first home of its failure domain, so that two homes count its votes.
func TestHeartbeatWithoutFirstHome(t *testing.T) {
	self := member.Host{
		Address: "b",
		Domain:  "d",
	}
	r := New(member.New(self, member.Limits{DeadAfter: time.Minute}, rand.New(rand.NewPCG(1, 1))), nil, time.Second, time.Second, 100, 100, 100, nil, logr.Discard())
	assert.Equal(t, *r.heartbeat().Home, "b")
	r.model.Update(time.Now(), member.HeartbeatMsg{From: member.Host{
		Incarnation: "1",
		Address:     "a",
		Domain:      "d",
	}})
	assert.Equal(t, *r.heartbeat().Home, "a")
}
