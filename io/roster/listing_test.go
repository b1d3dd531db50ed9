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

// TestListing: news arrive as they were sent.
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
		Draining: true,
		Born:     7,
	}
	host := listing.Host{
		Name:           "h",
		Address:        "a:2",
		Domain:         "d",
		HeartbeatCount: 3,
		Waits: []listing.RouteWait{{
			Route: "r",
			Usual: 1500 * time.Millisecond,
		}},
	}
	tests := []struct {
		name string
		news watch.News
	}{
		{
			name: "nothing new",
			news: watch.News{
				Reader:   "reader",
				Number:   4,
				Position: 9,
			},
		},
		{
			name: "everything",
			news: watch.News{
				Reader:   "reader",
				Number:   4,
				Position: 9,
				Failed:   time.Second,
				Whole:    true,
				Servers:  []listing.Server{server},
				Hosts:    []listing.Host{host},
			},
		},
		{
			name: "changes",
			news: watch.News{
				Reader:   "reader",
				Number:   5,
				Position: 10,
				Servers:  []listing.Server{server},
				Gone:     []string{"i-2"},
				Left:     []string{"g"},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			raw, err := cbor.Marshal(wire.Frame{Listing: listingOf(member.Host{Incarnation: "reader"}, test.news)})
			assert.NilError(t, err)
			var frame wire.Frame
			assert.NilError(t, cbor.Unmarshal(raw, &frame))
			assert.DeepEqual(t, newsFrom(frame.Listing), test.news)
		})
	}
}
