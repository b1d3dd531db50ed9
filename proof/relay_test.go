package proof

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/platform/standin"
	"rosemarywalk/platform/wire"
)

const (
	hostCount       = 12                      // in two failure domains
	longPollTimeout = 1500 * time.Millisecond // by then, reads that wait for changes have returned
	// Time limits that the users' large installation requires.
	configDeadline = 4 * time.Second
	drainDeadline  = 4 * time.Second
)

// ip returns the IP address of a host's outgoing connections.
func (h *platformHost) ip(t *testing.T) string {
	t.Helper()
	host, _, err := net.SplitHostPort(strings.TrimPrefix(h.entryURL, "http://"))
	assert.NilError(t, err)
	return host
}

// activeReaders returns the hosts that read the store's server list within a time window.
func (s *platformFleet) activeReaders(t *testing.T) []*platformHost {
	t.Helper()
	const window = 2 * time.Second
	s.store.TakeReadCounts()
	time.Sleep(window)
	reads := s.store.TakeReadCounts()
	var readers []*platformHost
	for _, h := range s.hosts {
		if reads[h.ip(t)] > 0 {
			readers = append(readers, h)
		}
	}
	return readers
}

// TestPlatformManyHosts: with many hosts, one per failure domain reads the store's
// lists. If it dies or can't read the store, the other hosts still get a new
// configuration and the removal of a server within the time limits.
func TestPlatformManyHosts(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(s *platformFleet, reader *platformHost)
		serving int // hosts that serve afterwards
	}{
		{
			name:    "no trouble",
			fault:   func(*platformFleet, *platformHost) {},
			serving: hostCount,
		},
		{
			name:    "the reader is killed",
			fault:   func(_ *platformFleet, reader *platformHost) { reader.kill() },
			serving: hostCount - 1,
		},
		{
			name: "the store turns the reader away",
			fault: func(s *platformFleet, reader *platformHost) {
				s.store.SetFaultAt(reader.ip(s.t), standin.Busy)
			},
			serving: hostCount,
		},
		{
			name: "the store is silent to the reader",
			fault: func(s *platformFleet, reader *platformHost) {
				s.store.SetFaultAt(reader.ip(s.t), standin.Unresponsive)
			},
			serving: hostCount,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPlatformFleet(t, hostCount, 6, healthyServer)
			var readers []*platformHost
			eventually(t, "one host of each failure domain reads", func() bool {
				readers = s.activeReaders(t)
				return len(readers) == 2
			})
			test.fault(s, readers[0])
			time.Sleep(longPollTimeout)
			draining := slices.Index(s.hosts, readers[0]) % len(usedDomains)
			s.drainServer(draining)
			s.putConfig(initialVersion+1, routePrefix, "/new/")
			time.Sleep(max(configDeadline, drainDeadline))
			before := s.checker.StartsOnServer(serverName(draining))
			requests := 0
			for i, h := range s.hosts {
				if test.serving < hostCount && h == readers[0] {
					continue
				}
				status, _, err := h.call(http.MethodPost, fmt.Sprintf("/new/%016x", i), jobBody(2))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK, h.name)
				requests++
			}
			assert.Equal(t, requests, test.serving)
			assert.Equal(t, s.checker.StartsOnServer(serverName(draining)), before, "tasks were started at a draining server")
		})
	}
}

// usedDomains are the failure domains that hosts and backend servers are assigned to in turn.
var usedDomains = failureDomains[:2]

func serverName(i int) string { return fmt.Sprintf("i-%d", i) }

// drainServer sets the state of a backend server's entry to draining.
func (s *platformFleet) drainServer(i int) {
	s.store.Put("servers", serverName(i), wire.ServerEntry{
		Service:  service,
		Address:  s.serverAddresses[i],
		Zone:     usedDomains[i%len(usedDomains)],
		State:    "draining",
		Capacity: wire.Room{Cpu: 1000 * healthyServer.Slots},
	})
}
