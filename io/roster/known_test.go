package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// TestKnown: a host's row counts as long as its counter moves, and an outage
// of the store ages nobody.
func TestKnown(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		after time.Duration // of the second read; 0 is none
		count int           // of the second read
		want  int
	}{
		{
			name: "read once",
			want: 1,
		},
		{
			name:  "the counter moved",
			after: time.Minute,
			count: 2,
			want:  1,
		},
		{
			name:  "the counter stands still for long",
			after: time.Minute,
			count: 1,
		},
		{
			name:  "the counter stands still for a moment",
			after: time.Second,
			count: 1,
			want:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New(member.New(member.Host{Address: "self"}, member.Limits{}, rand.New(rand.NewPCG(1, 1))), nil, time.Second, 6*time.Second, 100, 100, nil, logr.Discard())
			host := listing.Host{
				Name:           "a",
				Address:        "a:1",
				HeartbeatCount: 1,
			}
			r.known.read(start, []listing.Host{host})
			if test.after > 0 {
				host.HeartbeatCount = test.count
				r.known.read(start.Add(test.after), []listing.Host{host})
			}
			assert.Equal(t, len(r.View(nil).Known), test.want)
		})
	}
}
