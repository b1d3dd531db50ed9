package proof

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/platform/standin"
)

// startsIn returns the number of task starts on the servers of a failure domain.
func (s *platformFleet) startsIn(domain string) int {
	n := 0
	for i := range s.servers {
		if domainInTurn(s.serverDomains, i) == domain {
			n += s.checker.StartsOnServer(serverName(i))
		}
	}
	return n
}

// loadFrom submits jobs numbered from first on, concurrently, and checks that all are answered.
func (s *platformFleet) loadFrom(first, jobs int) {
	s.t.Helper()
	var wg sync.WaitGroup
	for n := range jobs {
		wg.Go(func() { assert.Check(s.t, s.submit(first+n) == http.StatusOK, "job %d", first+n) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// TestPlatformEvacuated guards against tasks that are started in a failure domain that the
// operator has evacuated. The hosts there take jobs meanwhile and place them elsewhere, also a
// host that starts while it is evacuated, and one that can't read the store.
func TestPlatformEvacuated(t *testing.T) {
	const jobs = 40
	s := newPlatformFleet(t, 4, 6, healthyServer)
	emptied := domainInTurn(nil, 0)
	s.store.SetFaultAt(hostIP(0), standin.Busy)
	s.store.Put("op", "evacuate/"+emptied, struct{}{})
	time.Sleep(evacuationTime)
	before := s.startsIn(emptied)
	s.loadFrom(0, jobs)
	s.hosts[2].kill()
	s.hosts[2].start()
	eventually(t, "the host that was killed is ready", func() bool {
		status, err := getStatus(s.hosts[2].readinessURL + "/-/readiness")
		return err == nil && status == http.StatusOK
	})
	s.loadFrom(jobs, jobs)
	assert.Equal(t, s.startsIn(emptied), before)
	s.store.Drop("op", "evacuate/"+emptied)
	time.Sleep(evacuationTime)
	s.loadFrom(2*jobs, jobs)
	assert.Assert(t, s.startsIn(emptied) > before)
}

// evacuationTime is how long hosts have to learn of a request, and starts under way to be
// answered. The users' bound is 5 s.
const evacuationTime = 2 * time.Second
