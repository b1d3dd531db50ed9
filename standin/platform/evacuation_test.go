package platform

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/place"
	"rosemarywalk/io/platform"
)

// listed keeps the servers of a directory's list.
type listed struct{ servers map[string][]place.Server }

func (l *listed) SetServers(services map[string][]place.Server) { l.servers = services }

// TestEvacuate checks that an operator's request reaches the host list, and that a host marks the
// servers of the failure domain until it is taken back.
func TestEvacuate(t *testing.T) {
	ctx := context.Background()
	p := New(1)
	for _, domain := range []string{"a/1", "b"} {
		p.SetHost(platform.ListedHost{
			ID:       domain,
			Domain:   domain,
			Services: []string{"s"},
		})
	}
	web := httptest.NewServer(p.Router())
	defer web.Close()
	client := platform.New(web.URL, time.Second, (&net.Dialer{}).DialContext, func(int, int) {})
	services, domains := &listed{}, -1
	d := platform.NewDirectory(services, func(n int) { domains = n })
	check := func(want map[string]bool) {
		t.Helper()
		listing, changed, err := client.Hosts(ctx, d.Revision())
		assert.NilError(t, err)
		assert.Assert(t, changed && d.Update(listing))
		evacuated, count := map[string]bool{}, 0
		for _, s := range services.servers["s"] {
			evacuated[s.Domain] = s.Evacuated
			if s.Evacuated {
				count++
			}
		}
		assert.DeepEqual(t, evacuated, want)
		assert.Equal(t, domains, count)
	}
	check(map[string]bool{"a/1": false, "b": false})
	assert.NilError(t, client.Evacuate(ctx, "a/1", false))
	check(map[string]bool{"a/1": true, "b": false})
	assert.NilError(t, client.Evacuate(ctx, "a/1", true))
	check(map[string]bool{"a/1": false, "b": false})
	p.SetFaults(Faults{Down: true})
	assert.ErrorIs(t, client.Evacuate(ctx, "b", false), platform.ErrDown)
}
