package roster

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/work"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// TestListing checks that an update is unchanged after encoding and decoding.
func TestListing(t *testing.T) {
	server := listing.Server{
		ID:      "i-1",
		Service: "s",
		Address: "a:1",
		Domain:  "d",
		Labels:  []string{"kind", "rack"},
		Capacity: work.Size{
			CPU:    16000,
			Memory: 64000,
			GPU:    2,
		},
		Draining:        true,
		Cold:            true,
		StartedAtMillis: 7,
	}
	host := listing.Host{
		Name:           "h",
		Address:        "a:2",
		Domain:         "d",
		HeartbeatCount: 3,
		RouteWaits: []listing.RouteWait{{
			Route:   "r",
			Typical: 1500 * time.Millisecond,
		}},
	}
	tests := []struct {
		name   string
		update watch.Update
	}{
		{
			name: "no changes",
			update: watch.Update{
				Reader:   "reader",
				Number:   4,
				Position: 9,
			},
		},
		{
			name: "everything",
			update: watch.Update{
				Reader:       "reader",
				Number:       4,
				Position:     9,
				SinceFailure: time.Second,
				Full:         true,
				Servers:      []listing.Server{server},
				Hosts:        []listing.Host{host},
			},
		},
		{
			name: "changes",
			update: watch.Update{
				Reader:         "reader",
				Number:         5,
				Position:       10,
				Servers:        []listing.Server{server},
				RemovedServers: []string{"i-2"},
				RemovedHosts:   []string{"g"},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw, err := cbor.Marshal(wire.Frame{Listing: updateToWire(member.Host{Incarnation: "reader"}, test.update)})
			assert.NilError(t, err)
			var frame wire.Frame
			assert.NilError(t, cbor.Unmarshal(raw, &frame))
			assert.DeepEqual(t, updateFromWire(frame.Listing), test.update)
		})
	}
}
