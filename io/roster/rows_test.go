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
			r := New(member.New(member.Host{Address: "self"}, member.Limits{}, rand.New(rand.NewPCG(1, 1))), nil, time.Second, 6*time.Second, 100, 100, nil, logr.Discard())
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
