package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/platform/wire"
)

// TestPlatformDeadlyTask checks that a job with a task that crashes backend servers is aborted
// after few crashes, at once when it is submitted again to another host, without being called
// failed, and that other jobs are served meanwhile.
func TestPlatformDeadlyTask(t *testing.T) {
	const (
		deadly     = "deadly"
		maxCrashes = 3
		waits      = 20 * time.Second
	)
	behavior := healthyServer
	behavior.Deadly, behavior.Downtime = deadly, 2*time.Second
	s := newPlatformFleet(t, 3, 6, behavior)
	body, err := json.Marshal(wire.Job{
		TaskSpec:   deadly,
		BestEffort: true,
		Steps: []wire.Step{{
			Count:      1,
			Cpu:        1000,
			MemMb:      1,
			EstimateMs: 50,
		}},
	})
	assert.NilError(t, err)
	const job = 1 << 20
	path := fmt.Sprintf("%s%016x", routePrefix, job)
	loaded := make(chan map[int]int, 1)
	go func() { loaded <- s.load(40, 100*time.Millisecond) }()
	aborted := 0
	for try := 0; aborted < len(s.hosts) && try < 10; try++ {
		status, answer, err := s.hosts[try%len(s.hosts)].callWithin(waits, http.MethodPost, path, string(body))
		if err == nil {
			assert.Assert(t, status != http.StatusOK, answer)
		}
		if err == nil && status == http.StatusBadGateway && strings.Contains(answer, string(core.ReasonCrashes)+`"`) {
			aborted++
			continue
		}
		time.Sleep(resubmitDelay)
	}
	assert.Equal(t, aborted, len(s.hosts))
	crashes := 0
	for _, server := range s.servers {
		crashes += server.Crashes()
	}
	assert.Assert(t, crashes >= 2 && crashes <= maxCrashes, "%d crashes: %v", crashes, s.checker.Runs(fmt.Sprintf("%016x", job)))
	assert.DeepEqual(t, <-loaded, map[int]int{http.StatusOK: 40})
}
