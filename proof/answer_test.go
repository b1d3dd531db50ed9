package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/io/client"
	"rosemarywalk/standin/proxy"
	"rosemarywalk/standin/server"
)

// TestHoldCompleteOrFailed: an answer is complete or failed, never partial.
func TestHoldCompleteOrFailed(t *testing.T) {
	tests := []struct {
		name   string
		mode   string
		reason core.Reason
	}{
		{
			name:   "server fails everything",
			mode:   server.ModeFail,
			reason: core.ReasonStatus,
		},
		{
			name:   "server resets after the start",
			mode:   server.ModeReset,
			reason: core.ReasonReset,
		},
		{
			name:   "answers cut halfway",
			mode:   server.ModeTruncated,
			reason: core.ReasonReset,
		},
		{
			name:   "answers cut halfway without a length",
			mode:   server.ModeNoLength,
			reason: core.ReasonMalformed,
		},
		{
			name:   "answers crossed",
			mode:   server.ModeWrongTask,
			reason: core.ReasonMalformed,
		},
		{
			name:   "server hangs",
			mode:   server.ModeHang,
			reason: core.ReasonDeadline,
		},
	}
	f := newFleet(t, fleetOptions{
		hosts:   2,
		servers: 3,
		slots:   8,
	})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f.servers[0].SetBehavior(server.Behavior{Mode: test.mode})
			defer f.servers[0].SetBehavior(server.Behavior{Mode: server.ModeOK})
			failures := 0
			for range 10 {
				if !submitAndCheck(t, f, test.reason) {
					failures++
				}
			}
			assert.Assert(t, failures > 0, "no job ran into the injected fault")
		})
		f.waitForAllServers()
	}
}

// submitAndCheck submits one job and checks its outcome, complete or failed. It
// reports whether the job completed.
func submitAndCheck(t *testing.T, f *fleet, reason core.Reason) bool {
	t.Helper()
	const tasks = 30
	j := job(tasks, 10)
	j.Deadline = 2000
	o, err := f.hosts[0].client().Submit(testContext(t), fetchTicket(t, f.hosts[1]), j)
	assert.NilError(t, err)
	if o.Complete() {
		checkAnswers(t, o, tasks)
		return true
	}
	assert.Equal(t, o.State, "failed")
	assert.Equal(t, len(o.Answers), 0, "a failed job carries answers")
	assert.Equal(t, o.Reason, reason)
	assert.Assert(t, len(o.Tasks) > 0, "no failed task is named")
	for _, task := range o.Tasks {
		assert.Assert(t, task.Reason != "")
		assert.Assert(t, task.Ran == core.RanNo || task.Server != "", "a started task has no server: %+v", task)
	}
	return false
}

// waitForAllServers waits until every host uses every server again.
func (f *fleet) waitForAllServers() {
	f.t.Helper()
	for _, h := range f.hosts {
		eventually(f.t, "all servers are usable again", func() bool {
			_, _ = h.client().Submit(testContext(f.t), fetchTicket(f.t, h), job(6, 1))
			own, _, err := h.status()
			return err == nil && own.UsableServers == len(f.servers)
		})
	}
}

// TestHoldFailingServerEjected: a server that fails every task is ejected after
// the configured number of failures.
func TestHoldFailingServerEjected(t *testing.T) {
	const failures, jobs = 3, 60
	f := newFleet(t, fleetOptions{
		hosts:         1,
		servers:       3,
		slots:         8,
		extraSettings: "[dispatch]\nfailures = 3\nbackoff = 1h\nlongest = 1h",
	})
	f.servers[0].SetBehavior(server.Behavior{Mode: server.ModeFail})
	failed := 0
	for range jobs {
		o, err := f.hosts[0].client().Submit(testContext(t), fetchTicket(t, f.hosts[0]), job(1, 1))
		assert.NilError(t, err)
		if !o.Complete() {
			failed++
		}
	}
	assert.Equal(t, failed, failures)
	assert.Equal(t, f.servers[0].Starts().Total, failures)
}

// TestHoldWholeAnswer: each caller receives the whole answer to its request.
func TestHoldWholeAnswer(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{
			name: "answers larger than any buffer, forwarded",
			run:  largeAnswers,
		},
		{
			name: "connections reused after timeouts",
			run:  reusedConnections,
		},
		{
			name: "peer link reset halfway through the answer",
			run:  linkReset,
		},
		{
			name: "requests pass an answer unchanged",
			run:  requestUnchanged,
		},
	}
	f := newFleet(t, fleetOptions{
		hosts:   2,
		servers: 3,
		slots:   8,
	})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, f) })
	}
}

func largeAnswers(t *testing.T, f *fleet) {
	const size, tasks = 3 << 20, 8
	j := client.Job{Service: service}
	for i := range tasks {
		j.Tasks = append(j.Tasks, client.Task{Body: fmt.Appendf(nil, `{"run":5,"n":%d,"size":%d}`, i, size)})
	}
	o, err := f.hosts[0].client().Submit(testContext(t), fetchTicket(t, f.hosts[1]), j)
	assert.NilError(t, err)
	checkAnswers(t, o, tasks)
	for _, raw := range o.Answers {
		var a server.Answer
		assert.NilError(t, json.Unmarshal(raw, &a))
		assert.Equal(t, len(a.Pad), size)
	}
}

// reusedConnections makes many tasks time out, so that their late answers
// could be taken for that of the next task on the same connection.
func reusedConnections(t *testing.T, f *fleet) {
	var wg sync.WaitGroup
	var complete atomic.Int64
	for i := range 60 {
		wg.Go(func() {
			j := job(10, 40)
			if i%2 == 0 {
				j.Deadline = 60
			}
			o, err := f.hosts[i%2].client().Submit(testContext(t), fetchTicket(t, f.hosts[0]), j)
			if err == nil && o.Complete() {
				complete.Add(1)
				checkAnswers(t, o, 10)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, complete.Load() >= 30, "jobs without a short deadline did not all complete")
}

func linkReset(t *testing.T, f *fleet) {
	ticket := fetchTicket(t, f.hosts[1])
	j := job(50, 5)
	for past := 500; past < 6000; past += 500 {
		f.hosts[1].peerProxy.ClearFault(f.hosts[0].ip)
		f.hosts[1].peerProxy.SetFault(f.hosts[0].ip, proxy.Fault{ResetPast: past})
		o, err := f.hosts[0].client().Submit(testContext(t), ticket, j)
		assert.NilError(t, err)
		if !o.Complete() {
			assert.Equal(t, o.Ran, core.RanMaybe)
			continue
		}
		checkAnswers(t, o, 50)
	}
	f.hosts[1].peerProxy.ClearFault(f.hosts[0].ip)
	o, err := f.hosts[0].client().Submit(testContext(t), ticket, j)
	assert.NilError(t, err)
	checkAnswers(t, o, 50)
}

func requestUnchanged(t *testing.T, f *fleet) {
	body := strings.Repeat("santos ", 1000)
	status, raw, err := f.hosts[0].client().Request(testContext(t), service, fetchTicket(t, f.hosts[1]), false, []byte(body))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	var a server.Answer
	assert.NilError(t, json.Unmarshal(raw, &a))
	var echoed string
	assert.NilError(t, json.Unmarshal(a.Body, &echoed))
	assert.Equal(t, echoed, body)
}

// TestHoldNonIdempotentOnce: a non-idempotent request runs at most once, and
// an idempotent one is retried within its budget.
func TestHoldNonIdempotentOnce(t *testing.T) {
	const saved, requests = 5, 40
	f := newFleet(t, fleetOptions{
		hosts:         2,
		servers:       3,
		slots:         8,
		extraSettings: fmt.Sprintf("[dispatch]\nretries = 0\nsaved = %d\nfailures = 1000", saved),
	})
	for _, s := range f.servers {
		s.SetBehavior(server.Behavior{Mode: server.ModeReset})
	}
	for range requests {
		_, _, err := f.hosts[0].client().Request(testContext(t), service, "", false, []byte("{}"))
		assert.NilError(t, err)
	}
	total, twice := f.countStarts()
	assert.Equal(t, total, requests)
	assert.Equal(t, twice, 0)
	for range requests {
		_, _, err := f.hosts[0].client().Request(testContext(t), service, "", true, []byte("{}"))
		assert.NilError(t, err)
	}
	total, _ = f.countStarts()
	assert.Equal(t, total, 2*requests+saved, "want one first attempt per request and as many retries as the budget allows")
	assert.Equal(t, f.hosts[0].counter(`retries_total{reason="reset"}`), saved)
	checkResubmittedRequest(t, f)
}

// checkResubmittedRequest sends one request repeatedly under the same ticket and checks
// that it runs once.
func checkResubmittedRequest(t *testing.T, f *fleet) {
	for _, s := range f.servers {
		s.SetBehavior(server.Behavior{Mode: server.ModeOK})
	}
	before, _ := f.countStarts()
	ticket := fetchTicket(t, f.hosts[1])
	for i := range 6 {
		status, _, err := f.hosts[i%2].client().Request(testContext(t), service, ticket, false, []byte(`{"run":20}`))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	after, _ := f.countStarts()
	assert.Equal(t, after-before, 1)
}

// counter reads one of a host's counters.
func (h *hostProcess) counter(name string) int {
	h.t.Helper()
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(h.operatorURL + "/metrics")
	assert.NilError(h.t, err)
	defer response.Body.Close()
	return readCounter(h.t, response.Body, "rosemarywalk_"+name)
}
