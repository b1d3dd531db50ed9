package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/schedule"
	"rosemarywalk/io/wire"
)

// slowPeers are hosts whose answers are read after a time.
type slowPeers struct {
	takes time.Duration
	calls int
}

func (p *slowPeers) Call(ctx context.Context, _ string, _ wire.Frame) (wire.Frame, error) {
	p.calls++
	select {
	case <-time.After(p.takes):
		return wire.Frame{
			Open:  &wire.Open{},
			Crash: &wire.Crash{},
		}, nil
	case <-ctx.Done():
		return wire.Frame{}, ctx.Err()
	}
}

func (*slowPeers) Send(context.Context, string, wire.Frame) error { return nil }

func (*slowPeers) Reachable(string) {}

// TestLateHostAsksAgain guards against homes that are asked again for their jobs because this
// host hasn't read the answer.
func TestLateHostAsksAgain(t *testing.T) {
	const reads = askTimeout * 3 / 2 // when the first answer is read
	tests := []struct {
		name string
		late bool // this host
		want int  // questions
	}{
		{
			name: "late",
			late: true,
			want: 1,
		},
		{
			name: "on time",
			want: 4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLocalScheduler(localPeers{}, &fakeServer{}, member.Host{
					Address: "a",
					Domain:  "d",
					CPU:     800,
				}, member.Host{
					Address: "b",
					Domain:  "e",
					CPU:     800,
				})
				s.config.Now = time.Now
				s.servers = map[string][]listing.Server{"s": {{
					ID:      "i",
					Service: "s",
					Domain:  "e",
				}}}
				peers := &slowPeers{takes: reads}
				s.config.Peers = peers
				if test.late {
					s.config.Meter.Expect(time.Now())
				}
				s.ask("s", schedule.AskCmd{
					Host:  "b",
					Until: time.Now().Add(4 * askTimeout),
				})
				assert.Equal(t, peers.calls, test.want)
			})
		})
	}
}

// TestLateHostSharesAgain guards against losses that are sent again to homes because this host
// hasn't read the answer.
func TestLateHostSharesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLocalScheduler(localPeers{}, &fakeServer{}, member.Host{
			Address: "a",
			Domain:  "d",
			CPU:     800,
		}, member.Host{
			Address: "b",
			Domain:  "e",
			CPU:     800,
		})
		s.config.Now = time.Now
		s.servers = map[string][]listing.Server{"s": {{
			ID:      "i",
			Service: "s",
			Domain:  "e",
		}}}
		peers := &slowPeers{takes: askTimeout * 3 / 2}
		s.config.Peers = peers
		s.config.Meter.Expect(time.Now())
		s.sendLoss("b", "s", wire.Frame{})
		assert.Equal(t, peers.calls, 1)
	})
}
