package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// newLargeScheduler returns the scheduler of the last of 96 hosts in six failure domains, which
// is no home.
func newLargeScheduler() *Scheduler {
	const (
		hosts   = 96
		servers = 540
		domains = 6
	)
	var members []member.Host
	var rows []listing.Host
	for i := range hosts {
		h := member.Host{
			Address: fmt.Sprintf("host-%d", i),
			Domain:  fmt.Sprintf("domain-%d", i%domains),
			CPU:     1000 - i,
		}
		members = append([]member.Host{h}, members...)
		rows = append(rows, listing.Host{
			Name:    h.Address,
			Address: h.Address,
			Domain:  h.Domain,
		})
	}
	s := newLocalScheduler(localPeers{}, &fakeServer{}, members...)
	s.hostsListedAt = time.Now().Add(-time.Hour)
	s.config.Roster.SetListedHosts(rows)
	var listed []listing.Server
	for i := range servers {
		listed = append(listed, listing.Server{
			ID:      fmt.Sprintf("server-%d", i),
			Service: "service",
			Domain:  fmt.Sprintf("domain-%d", i%domains),
		})
	}
	s.SetServers(listed)
	return s
}

// TestIdleHostRebuildsViews guards against a host that is no home and still copies and sorts all
// hosts, rows and servers many times a second.
func TestIdleHostRebuildsViews(t *testing.T) {
	const (
		runs     = 50
		maxBytes = 100 << 10 // of one round; 780 kB with all lists rebuilt
	)
	s := newLargeScheduler()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		s.updateHomes()
		s.updateOwnership()
	}
	runtime.ReadMemStats(&after)
	bytes := (after.TotalAlloc - before.TotalAlloc) / runs
	assert.Assert(t, bytes < maxBytes, "%d", bytes)
}

// BenchmarkIdleHost measures what a host that is no home computes in a second.
func BenchmarkIdleHost(b *testing.B) {
	s := newLargeScheduler()
	b.ReportAllocs()
	for b.Loop() {
		for range time.Second / confirmInterval {
			s.updateHomes()
		}
		for range time.Second / maxOwnershipInterval {
			s.updateOwnership()
		}
	}
}

// TestClockReadPerOrder guards against a system call for the time with each order to start a
// run, which has the time of the messages that led to it.
func TestClockReadPerOrder(t *testing.T) {
	s := newShard(&fakeServer{starts: make(chan string, 1)})
	s.mu.Lock()
	defer s.mu.Unlock()
	now, reads := s.now, 0
	defer func() { s.now = now }()
	s.now = func() time.Time {
		reads++
		return now()
	}
	effects := s.process(now(), []any{pool.RunMsg{
		Task: work.Task{
			Job:      "j",
			Size:     work.Size{CPU: 500},
			Deadline: now().Add(time.Hour),
		},
		Owner: ownerSelf,
	}})
	assert.Assert(t, len(effects) >= 2, "the log line and the order")
	assert.Equal(t, reads, 0)
}

// TestShardsSortedEachTime guards against sorting the shards for each look at all of them, and
// checks that a new one is seen.
func TestShardsSortedEachTime(t *testing.T) {
	s := newLargeScheduler()
	s.all()
	assert.Equal(t, testing.AllocsPerRun(10, func() { s.all() }), 0.0)
	s.Shard("a")
	assert.Equal(t, len(s.all()), 2)
	assert.Equal(t, s.all()[0].service, "a")
}
