package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func limits() Limits {
	return Limits{
		DeadAfter:           5 * time.Second,
		ForgetAfter:         time.Minute,
		EntriesPerHeartbeat: 4,
	}
}

// simulation runs a fleet of Models that exchange heartbeats, on a fake clock.
type simulation struct {
	now    time.Time
	models map[string]*Model
	down   map[string]bool
	sent   int

	replies bool // a heartbeat that changes the live hosts is answered with one
	changes int  // changes of live hosts caused by heartbeats
}

func newSimulation(hosts, domains int) *simulation {
	w := &simulation{
		now:    startTime,
		models: map[string]*Model{},
		down:   map[string]bool{},
	}
	for n := range hosts {
		address := addressOf(n)
		w.models[address] = New(Host{
			Incarnation: fmt.Sprintf("%032d", n),
			Address:     address,
			Domain:      fmt.Sprintf("domain-%d", n%domains),
		}, limits(), rand.New(rand.NewPCG(uint64(n), 1)))
		w.models[address].Update(startTime, SeedMsg{Hosts: []Host{{Address: addressOf(0)}}})
	}
	return w
}

func addressOf(n int) string { return fmt.Sprintf("127.0.0.1:%d", 7100+n) }

// step advances all hosts by one heartbeat period.
func (w *simulation) step() {
	w.now = w.now.Add(time.Second)
	for n := range len(w.models) {
		address := addressOf(n)
		if w.down[address] {
			continue
		}
		m := w.models[address]
		for _, cmd := range m.Update(w.now, TickMsg{}) {
			send, ok := cmd.(SendCmd)
			if !ok {
				continue
			}
			w.sent++
			if target := w.models[send.Address]; target != nil && !w.down[send.Address] {
				cmds := target.Update(w.now, HeartbeatMsg{
					From:    m.Self(),
					Entries: send.Entries,
				})
				w.changes += len(cmds)
				if w.replies && len(cmds) > 0 {
					m.Update(w.now, HeartbeatMsg{From: target.Self()})
				}
			}
		}
	}
}

// converged reports whether each live host has as many live hosts in its view as there
// are.
func (w *simulation) converged() bool {
	for address, m := range w.models {
		if !w.down[address] && len(m.Live()) != len(w.models)-len(w.down) {
			return false
		}
	}
	return true
}

// detectionPeriods is the maximum number of periods until all hosts detect a death: 5
// for the timeout, one for forwarding between domains and one for rounding.
const detectionPeriods = 7

// TestHostsConverge checks that, starting from one seed, each host discovers all
// others, that all hosts detect a dead host, and that no live host counts as dead.
func TestHostsConverge(t *testing.T) {
	tests := []struct {
		hosts   int
		domains int
	}{
		{
			hosts:   9,
			domains: 4,
		},
		{
			hosts:   29,
			domains: 4,
		},
		{
			hosts:   63,
			domains: 7,
		},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d hosts", test.hosts), func(t *testing.T) {
			w := newSimulation(test.hosts, test.domains)
			steps := 0
			for ; !w.converged(); steps++ {
				assert.Assert(t, steps < 60, "the hosts have not converged")
				w.step()
			}
			for range 120 {
				w.step()
				assert.Assert(t, w.converged(), "a live host counts as dead")
			}
			w.down[addressOf(test.hosts-1)] = true
			silent := 0
			for ; !w.converged(); silent++ {
				assert.Assert(t, silent < detectionPeriods, "a dead host is not detected")
				w.step()
			}
			w.sent = 0
			w.step()
			t.Logf("converged after %d periods, detected a death after %d, %.1f heartbeats per host and period",
				steps, silent, float64(w.sent)/float64(test.hosts-1))
		})
	}
}

// TestListedHostsFindEachOther checks that hosts which start together and read each
// other's addresses and failure domains from a list converge quickly, without more
// heartbeats than in normal operation.
func TestListedHostsFindEachOther(t *testing.T) {
	const hosts, domains = 33, 4
	w := newSimulation(hosts, domains)
	var listed []Host
	for n := range hosts {
		self := w.models[addressOf(n)].Self()
		listed = append(listed, Host{
			Address: self.Address,
			Domain:  self.Domain,
		})
	}
	for n := range hosts {
		m := New(w.models[addressOf(n)].Self(), limits(), rand.New(rand.NewPCG(uint64(n), 1)))
		m.Update(startTime, SeedMsg{Hosts: listed})
		w.models[addressOf(n)] = m
	}
	steps := 0
	for ; !w.converged(); steps++ {
		assert.Assert(t, steps < detectionPeriods, "the hosts have not discovered each other")
		w.step()
	}
	const ownDomain = hosts/domains + 1
	mean := float64(w.sent) / float64(steps) / hosts
	t.Logf("discovered each other after %d periods, %.1f heartbeats per host and period", steps, mean)
	assert.Assert(t, mean <= ownDomain+domains)
}

// TestRestartAtSameAddress checks that a live incarnation is replaced only by a
// heartbeat of the new process itself, not by an entry from a third host.
func TestRestartAtSameAddress(t *testing.T) {
	m := New(Host{
		Incarnation: "self",
		Address:     addressOf(0),
		Domain:      "a",
	}, limits(), rand.New(rand.NewPCG(1, 1)))
	old := Host{
		Incarnation:    "old",
		Address:        addressOf(1),
		Domain:         "a",
		HeartbeatCount: 50,
	}
	fresh := old
	fresh.Incarnation, fresh.HeartbeatCount = "new", 1
	third := Host{
		Incarnation:    "third",
		Address:        addressOf(2),
		Domain:         "a",
		HeartbeatCount: 1,
	}
	m.Update(startTime, HeartbeatMsg{From: old})
	m.Update(startTime, HeartbeatMsg{
		From:    third,
		Entries: []Host{fresh},
	})
	assert.Equal(t, incarnationAt(m, addressOf(1)), "old")
	m.Update(startTime, HeartbeatMsg{From: fresh})
	assert.Equal(t, incarnationAt(m, addressOf(1)), "new")
}

func incarnationAt(m *Model, address string) string {
	for _, h := range m.Live() {
		if h.Address == address {
			return h.Incarnation
		}
	}
	return ""
}

// TestHolders checks that a silent host stays a holder, and that one which announced
// its shutdown does not.
func TestHolders(t *testing.T) {
	m := New(Host{
		Incarnation: "self",
		Address:     addressOf(0),
		Domain:      "a",
	}, limits(), rand.New(rand.NewPCG(1, 1)))
	for n := 1; n <= 2; n++ {
		m.Update(startTime, HeartbeatMsg{
			From: Host{
				Incarnation:    fmt.Sprint(n),
				Address:        addressOf(n),
				Domain:         "b",
				HeartbeatCount: 1,
				Stopping:       n == 2,
			},
		})
	}
	m.Update(startTime.Add(10*time.Second), TickMsg{})
	assert.Equal(t, len(m.Live()), 1)
	assert.Equal(t, len(m.Holders()), 2)
}

// TestPausedHostCallsOthersDead guards against a host that wakes from a pause and acts as if
// all others had died meanwhile.
func TestPausedHostCallsOthersDead(t *testing.T) {
	const pause = 10 * time.Second
	tests := []struct {
		name  string
		heard int // period after the pause in which the other host is heard; 0 for never
		ticks int // after the pause
		want  int
	}{
		{
			name:  "just after the pause",
			ticks: 1,
			want:  2,
		},
		{
			name:  "heard again",
			heard: 4,
			ticks: 8,
			want:  2,
		},
		{
			name:  "not heard for too long",
			ticks: 6,
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(Host{
				Incarnation: "self",
				Address:     addressOf(0),
				Domain:      "a",
			}, limits(), rand.New(rand.NewPCG(1, 1)))
			other := Host{
				Incarnation:    "other",
				Address:        addressOf(1),
				Domain:         "a",
				HeartbeatCount: 1,
			}
			m.Update(startTime, TickMsg{})
			m.Update(startTime, HeartbeatMsg{From: other})
			for tick := range test.ticks {
				now := startTime.Add(pause + time.Duration(tick)*time.Second)
				m.Update(now, TickMsg{})
				if tick+1 == test.heard {
					other.HeartbeatCount++
					m.Update(now, HeartbeatMsg{From: other})
				}
			}
			assert.Equal(t, len(m.Live()), test.want)
		})
	}
}
