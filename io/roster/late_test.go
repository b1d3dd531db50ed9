package roster

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/io/late"
)

// TestLateHostReadsLists guards against hosts that read the store's lists themselves because they
// get no processor time to read the updates of the host that does.
func TestLateHostReadsLists(t *testing.T) {
	limits := listing.ReaderRoleLimits{
		MaxReaders:   4,
		MaxUpdateAge: 1600 * time.Millisecond,
		RankDelay:    200 * time.Millisecond,
	}
	const hosts, rank = 6, 1
	tests := []struct {
		name  string
		delay time.Duration // of this host
		age   time.Duration // of the latest update
		want  bool
	}{
		{
			name: "on time, recent",
			age:  limits.MaxUpdateAge,
		},
		{
			name: "on time",
			age:  limits.MaxUpdateAge + rank*limits.RankDelay,
			want: true,
		},
		{
			name:  "late",
			delay: 100 * time.Millisecond,
			age:   limits.MaxUpdateAge + rank*limits.RankDelay,
		},
		{
			name:  "late, no updates",
			delay: 100 * time.Millisecond,
			age:   limits.MaxUpdateAge + rank*limits.RankDelay + 100*time.Millisecond,
			want:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := member.New(member.Host{
					Address: strconv.Itoa(rank),
					Domain:  "d",
				}, member.Limits{DeadAfter: time.Minute}, rand.New(rand.NewPCG(1, 1)))
				for i := range hosts {
					model.Update(time.Now(), member.HeartbeatMsg{From: member.Host{
						Incarnation: strconv.Itoa(i),
						Address:     strconv.Itoa(i),
						Domain:      "d",
					}})
				}
				l := &listSharer{
					roster: New(model, nil, time.Second, time.Second, 100, 100, 100, nil, logr.Discard()),
					meter:  late.New(),
					role:   listing.NewReaderRole(limits).WithUpdate(time.Now()),
				}
				time.Sleep(test.age)
				if test.delay > 0 {
					l.meter.Expect(time.Now().Add(-test.delay))
				}
				assert.Equal(t, l.shouldRead(), test.want)
			})
		})
	}
}
