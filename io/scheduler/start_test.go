package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
)

// TestTwoHomesAtStart guards against hosts of a failure domain that start together and each
// take its servers over, because they read the hosts' rows before the other had written its
// own.
func TestTwoHomesAtStart(t *testing.T) {
	tests := []struct {
		name    string
		listed  []string      // addresses in the list of hosts
		elapsed time.Duration // since the start
		want    bool
	}{
		{
			name: "the list has not been read",
		},
		{
			name:   "the list was read before this host's row was written",
			listed: []string{"foreign"},
		},
		{
			name:   "the list was read after this host's row was written",
			listed: []string{"foreign", "self"},
			want:   true,
		},
		{
			name:   "another host of the failure domain has not been heard",
			listed: []string{"d", "foreign", "self"},
		},
		{
			name:    "this host's row can't be written",
			listed:  []string{"foreign"},
			elapsed: listWait,
			want:    true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newLocalScheduler(localPeers{}, &fakeServer{}, member.Host{
				Address: "self",
				Domain:  "d",
			})
			s.config.Complete = time.Minute
			s.started = time.Now().Add(-test.elapsed)
			var rows []listing.Host
			for _, address := range test.listed {
				domain := "d"
				if address == "foreign" {
					domain = "other"
				}
				rows = append(rows, listing.Host{
					Name:    "name-" + address,
					Address: address,
					Domain:  domain,
				})
			}
			s.config.Roster.SetListedHosts(rows)
			assert.Equal(t, s.membershipSettled(), test.want)
		})
	}
}
