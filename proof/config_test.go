package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core"
	"rosemarywalk/core/document"
	"rosemarywalk/core/finding"
	"rosemarywalk/io/config"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/proxy"
)

// maxActivationDelay is the documented limit for a change to become active on all hosts.
const maxActivationDelay = 20 * time.Second

// changeReply is a host's response to a submitted configuration change.
type changeReply struct {
	Status   int                `json:"-"`
	Accepted []config.Booked    `json:"booked"`
	Findings finding.List       `json:"findings"`
	Conflict *document.Conflict `json:"conflict"`
	Error    string             `json:"error"`
}

// submitChange submits a configuration document to one host.
func (h *hostProcess) submitChange(t *testing.T, text string) changeReply {
	t.Helper()
	query := url.Values{
		"file":   {"teams.ini"},
		"author": {h.name},
	}
	c := http.Client{Timeout: testTimeout}
	response, err := c.Post(h.operatorURL+"/config?"+query.Encode(), "text/plain", bytes.NewBufferString(text))
	assert.NilError(t, err)
	defer response.Body.Close()
	reply := changeReply{Status: response.StatusCode}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

// activeVersion returns the version of a section that is active on a host, 0 for
// none, and the time of its activation.
func (h *hostProcess) activeVersion(team string) (int, time.Time) {
	own, _, err := h.status()
	if err != nil {
		return 0, time.Time{}
	}
	for _, f := range own.InForce {
		if f.Team == team {
			return f.Entry.Version, f.Since
		}
	}
	return 0, time.Time{}
}

// waitForVersion waits until a version is active on the hosts and checks that this
// took less than maxActivationDelay.
func waitForVersion(t *testing.T, hosts []*hostProcess, team string, version int, start time.Time) {
	t.Helper()
	for _, h := range hosts {
		eventually(t, fmt.Sprintf("version %d at %s", version, h.name), func() bool {
			v, _ := h.activeVersion(team)
			return v >= version
		})
	}
	assert.Assert(t, time.Since(start) < maxActivationDelay, "active only after %s", time.Since(start))
}

// sectionText returns a configuration document with a single section.
func sectionText(team, extraLines string) string {
	return fmt.Sprintf("[%s]\nservices = %s-checks\n%s\n", team, team, extraLines)
}

// TestHoldConfiguration: an accepted change becomes active on every host within
// maxActivationDelay, not before its scheduled time, and is never reverted.
func TestHoldConfiguration(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{
			name: "in force everywhere",
			run:  activeEverywhere,
		},
		{
			name: "at the booked instant",
			run:  activeAtScheduledTime,
		},
		{
			name: "operators race",
			run:  operatorsRace,
		},
		{
			name: "platform loses answers",
			run:  changeAnswersLost,
		},
		{
			name: "findings are reported together and nothing is booked",
			run:  allFindingsReported,
		},
		{
			name: "platform down after the booking, and a host starts",
			run:  hostStartsDuringOutage,
		},
		{
			name: "a failure domain is cut off at the booked instant",
			run:  isolatedAtActivation,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.run(t, newFleet(t, fleetOptions{
				hosts:   3,
				servers: 2,
				slots:   4,
			}))
		})
	}
}

func activeEverywhere(t *testing.T, f *fleet) {
	for version := 1; version <= 3; version++ {
		h := f.hosts[version%len(f.hosts)]
		reply := h.submitChange(t, sectionText("guild", fmt.Sprintf("quota = %d", 100+version)))
		assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
		assert.Equal(t, reply.Accepted[0].Version, version)
		waitForVersion(t, f.hosts, "guild", version, time.Now())
	}
}

func activeAtScheduledTime(t *testing.T, f *fleet) {
	active := time.Now().Add(4 * time.Second).Truncate(time.Second)
	reply := f.hosts[0].submitChange(t, sectionText("guild", "active = "+active.Format(time.RFC3339)))
	assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
	waitForVersion(t, f.hosts, "guild", 1, active)
	for _, h := range f.hosts {
		_, since := h.activeVersion("guild")
		assert.Assert(t, !since.Before(active), "%s activated the change at %s, before %s", h.name, since, active)
		assert.Assert(t, since.Before(active.Add(3*time.Second)), "%s activated the change only at %s", h.name, since)
	}
}

func operatorsRace(t *testing.T, f *fleet) {
	assert.Equal(t, f.hosts[0].submitChange(t, sectionText("guild", "")).Status, http.StatusOK)
	var mu sync.Mutex
	accepted, conflicts := 0, 0
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for range 3 {
			wg.Go(func() {
				reply := h.submitChange(t, sectionText("guild", "version = 1"))
				mu.Lock()
				defer mu.Unlock()
				accepted += len(reply.Accepted)
				if reply.Conflict != nil {
					conflicts++
					assert.Check(t, reply.Conflict.Team == "guild" && reply.Conflict.Version == 2, "%+v", reply.Conflict)
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, accepted, 1)
	assert.Equal(t, conflicts, 8)
	waitForVersion(t, f.hosts, "guild", 2, time.Now())
}

func changeAnswersLost(t *testing.T, f *fleet) {
	f.platform.SetFaults(platform.Faults{LostAnswers: 1})
	reply := f.hosts[0].submitChange(t, sectionText("guild", ""))
	assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
	assert.Equal(t, reply.Accepted[0].Version, 1)
	f.platform.SetFaults(platform.Faults{LostAnswers: 0.5})
	for version := 2; version <= 6; version++ {
		reply := f.hosts[version%3].submitChange(t, sectionText("guild", ""))
		assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
		assert.Equal(t, reply.Accepted[0].Version, version, "a change was stored twice or lost")
	}
	waitForVersion(t, f.hosts, "guild", 6, time.Now())
}

func allFindingsReported(t *testing.T, f *fleet) {
	reply := f.hosts[0].submitChange(t, "[guild]\nservices = a\nquota = many\n\n[labs]\nservices = a\nworkres = 3\nactive = soon\n")
	assert.Equal(t, reply.Status, http.StatusUnprocessableEntity)
	var lines []int
	for _, finding := range reply.Findings {
		assert.Equal(t, finding.File, "teams.ini")
		lines = append(lines, finding.Line)
	}
	assert.DeepEqual(t, lines, []int{3, 6, 7, 8})
	version, _ := f.hosts[0].activeVersion("guild")
	assert.Equal(t, version, 0)
}

func hostStartsDuringOutage(t *testing.T, f *fleet) {
	f.hosts[2].kill()
	assert.Equal(t, f.hosts[0].submitChange(t, sectionText("guild", "")).Status, http.StatusOK)
	submittedAt := time.Now()
	// Hosts that read the feed may not have the change yet; the host that accepted it must.
	waitForVersion(t, f.hosts[:1], "guild", 1, submittedAt)
	f.platform.SetFaults(platform.Faults{Down: true})
	f.hosts[2].start()
	waitForVersion(t, f.hosts, "guild", 1, submittedAt)
	// It also serves jobs, because it gets the server list from a peer.
	eventually(t, "the restarted host serves", func() bool {
		o, err := f.hosts[2].client().Submit(testContext(t), fetchTicket(t, f.hosts[2]), job(3, 1))
		return err == nil && o.Complete()
	})
}

func isolatedAtActivation(t *testing.T, f *fleet) {
	active := time.Now().Add(5 * time.Second).Truncate(time.Second)
	assert.Equal(t, f.hosts[0].submitChange(t, sectionText("guild", "")).Status, http.StatusOK)
	assert.Equal(t, f.hosts[0].submitChange(t, sectionText("guild", "active = "+active.Format(time.RFC3339))).Status, http.StatusOK)
	eventually(t, "the isolated host has the change before its activation", func() bool { return f.hosts[2].latestVersion("guild") == 2 })
	f.isolate(f.hosts[2])
	waitForVersion(t, []*hostProcess{f.hosts[2]}, "guild", 2, active)
	o, err := f.hosts[2].client().Submit(testContext(t), fetchTicket(t, f.hosts[2]), job(3, 1))
	assert.NilError(t, err)
	checkAnswers(t, o, 3)
	assert.Equal(t, f.hosts[0].submitChange(t, sectionText("guild", "weight = 2")).Status, http.StatusOK)
	submittedAt := time.Now()
	waitForVersion(t, f.hosts[:2], "guild", 3, submittedAt)
	assert.Equal(t, f.hosts[2].latestVersion("guild"), 2, "a change reached the isolated host")
	f.rejoin(f.hosts[2])
	waitForVersion(t, f.hosts[2:], "guild", 3, time.Now())
}

// isolate partitions a host from the platform and all other hosts, but not from its
// callers and backend servers.
func (f *fleet) isolate(h *hostProcess) {
	f.platformProxy.SetFault(h.ip, proxy.Partition())
	h.peerProxy.SetFault(proxy.AnySource, proxy.Partition())
	for _, other := range f.hosts {
		other.peerProxy.SetFault(h.ip, proxy.Partition())
	}
}

func (f *fleet) rejoin(h *hostProcess) {
	f.platformProxy.ClearFault(h.ip)
	h.peerProxy.ClearFault(proxy.AnySource)
	for _, other := range f.hosts {
		other.peerProxy.ClearFault(h.ip)
	}
}

// latestVersion returns the newest version that a host knows, active or not.
func (h *hostProcess) latestVersion(team string) int {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(h.operatorURL + "/config/history?team=" + team)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var records []document.Record
	if json.NewDecoder(response.Body).Decode(&records) != nil || len(records) == 0 {
		return 0
	}
	return records[0].Latest().Version
}

// TestHoldQuota: a team's concurrent tasks across all hosts stay within its quota.
func TestHoldQuota(t *testing.T) {
	const quota = 6
	f := newFleet(t, fleetOptions{
		hosts:   2,
		servers: 2,
		slots:   32,
	})
	reply := f.hosts[0].submitChange(t, "[guild]\nservices = "+service+"\nquota = 6\n")
	assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
	waitForVersion(t, f.hosts, "guild", 1, time.Now())
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			o, err := f.hosts[i%2].client().Submit(testContext(t), fetchTicket(t, f.hosts[i%2]), job(1, 1500))
			if err == nil && !o.Complete() {
				assert.Check(t, o.Ran == core.RanNo && o.Reason == core.ReasonQuota, "%+v", o)
			}
		})
	}
	wg.Wait()
	total, _ := f.countStarts()
	assert.Assert(t, total <= quota, "%d concurrent tasks, quota %d", total, quota)
	assert.Assert(t, total >= quota/2, "only %d tasks, less than half of the quota of %d", total, quota)
}
