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

// inForceBound is the stated target for a change to be in force everywhere.
const inForceBound = 20 * time.Second

// bookReply is what a host answers to a booking.
type bookReply struct {
	Status   int                `json:"-"`
	Booked   []config.Booked    `json:"booked"`
	Findings finding.List       `json:"findings"`
	Conflict *document.Conflict `json:"conflict"`
	Error    string             `json:"error"`
}

// book books a document at one host.
func (h *hostProcess) book(t *testing.T, text string) bookReply {
	t.Helper()
	query := url.Values{
		"file":   {"teams.ini"},
		"author": {h.name},
	}
	c := http.Client{Timeout: patience}
	response, err := c.Post(h.operator+"/config?"+query.Encode(), "text/plain", bytes.NewBufferString(text))
	assert.NilError(t, err)
	defer response.Body.Close()
	reply := bookReply{Status: response.StatusCode}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

// inForce returns a section's version at a host, 0 for none, and since when.
func (h *hostProcess) inForce(team string) (int, time.Time) {
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

// within waits until a version is in force at hosts, by the stated target.
func within(t *testing.T, hosts []*hostProcess, team string, version int, booked time.Time) {
	t.Helper()
	for _, h := range hosts {
		eventually(t, fmt.Sprintf("version %d at %s", version, h.name), func() bool {
			v, _ := h.inForce(team)
			return v >= version
		})
	}
	assert.Assert(t, time.Since(booked) < inForceBound, "in force after %s", time.Since(booked))
}

// section returns a document of one section.
func section(team, more string) string {
	return fmt.Sprintf("[%s]\nservices = %s-checks\n%s\n", team, team, more)
}

// TestHoldConfiguration: an accepted change is in force everywhere within the
// target, at its date, and never reverts.
func TestHoldConfiguration(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{
			name: "in force everywhere",
			run:  inForceEverywhere,
		},
		{
			name: "at the booked instant",
			run:  inForceAtDate,
		},
		{
			name: "operators race",
			run:  operatorsRace,
		},
		{
			name: "platform loses answers",
			run:  bookingAnswersLost,
		},
		{
			name: "findings are reported together and nothing is booked",
			run:  findingsTogether,
		},
		{
			name: "platform down after the booking, and a host starts",
			run:  startsDuringOutage,
		},
		{
			name: "a failure domain is cut off at the booked instant",
			run:  cutAtDate,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.run(t, newFleet(t, options{
				hosts:   3,
				servers: 2,
				slots:   4,
			}))
		})
	}
}

func inForceEverywhere(t *testing.T, f *fleet) {
	for version := 1; version <= 3; version++ {
		h := f.hosts[version%len(f.hosts)]
		reply := h.book(t, section("guild", fmt.Sprintf("quota = %d", 100+version)))
		assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
		assert.Equal(t, reply.Booked[0].Version, version)
		within(t, f.hosts, "guild", version, time.Now())
	}
}

func inForceAtDate(t *testing.T, f *fleet) {
	active := time.Now().Add(4 * time.Second).Truncate(time.Second)
	reply := f.hosts[0].book(t, section("guild", "active = "+active.Format(time.RFC3339)))
	assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
	within(t, f.hosts, "guild", 1, active)
	for _, h := range f.hosts {
		_, since := h.inForce("guild")
		assert.Assert(t, !since.Before(active), "%s applied it at %s, before %s", h.name, since, active)
		assert.Assert(t, since.Before(active.Add(3*time.Second)), "%s applied it only at %s", h.name, since)
	}
}

func operatorsRace(t *testing.T, f *fleet) {
	assert.Equal(t, f.hosts[0].book(t, section("guild", "")).Status, http.StatusOK)
	var mu sync.Mutex
	booked, conflicts := 0, 0
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for range 3 {
			wg.Go(func() {
				reply := h.book(t, section("guild", "version = 1"))
				mu.Lock()
				defer mu.Unlock()
				booked += len(reply.Booked)
				if reply.Conflict != nil {
					conflicts++
					assert.Check(t, reply.Conflict.Team == "guild" && reply.Conflict.Version == 2, "%+v", reply.Conflict)
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, booked, 1)
	assert.Equal(t, conflicts, 8)
	within(t, f.hosts, "guild", 2, time.Now())
}

func bookingAnswersLost(t *testing.T, f *fleet) {
	f.platform.SetFaults(platform.Faults{Lose: 1})
	reply := f.hosts[0].book(t, section("guild", ""))
	assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
	assert.Equal(t, reply.Booked[0].Version, 1)
	f.platform.SetFaults(platform.Faults{Lose: 0.5})
	for version := 2; version <= 6; version++ {
		reply := f.hosts[version%3].book(t, section("guild", ""))
		assert.Equal(t, reply.Status, http.StatusOK, "%+v", reply)
		assert.Equal(t, reply.Booked[0].Version, version, "a change was booked twice or lost")
	}
	within(t, f.hosts, "guild", 6, time.Now())
}

func findingsTogether(t *testing.T, f *fleet) {
	reply := f.hosts[0].book(t, "[guild]\nservices = a\nquota = many\n\n[labs]\nservices = a\nworkres = 3\nactive = soon\n")
	assert.Equal(t, reply.Status, http.StatusUnprocessableEntity)
	var lines []int
	for _, finding := range reply.Findings {
		assert.Equal(t, finding.File, "teams.ini")
		lines = append(lines, finding.Line)
	}
	assert.DeepEqual(t, lines, []int{3, 6, 7, 8})
	version, _ := f.hosts[0].inForce("guild")
	assert.Equal(t, version, 0)
}

func startsDuringOutage(t *testing.T, f *fleet) {
	f.hosts[2].kill()
	assert.Equal(t, f.hosts[0].book(t, section("guild", "")).Status, http.StatusOK)
	booked := time.Now()
	// The feed's readers may not have it yet; only the booking host must.
	within(t, f.hosts[:1], "guild", 1, booked)
	f.platform.SetFaults(platform.Faults{Down: true})
	f.hosts[2].start()
	within(t, f.hosts, "guild", 1, booked)
	// It serves, too: the list of servers came from a peer.
	eventually(t, "the new host serves", func() bool {
		o, err := f.hosts[2].client().Submit(background(t), ticketOf(t, f.hosts[2]), job(3, 1))
		return err == nil && o.Complete()
	})
}

func cutAtDate(t *testing.T, f *fleet) {
	active := time.Now().Add(5 * time.Second).Truncate(time.Second)
	assert.Equal(t, f.hosts[0].book(t, section("guild", "")).Status, http.StatusOK)
	assert.Equal(t, f.hosts[0].book(t, section("guild", "active = "+active.Format(time.RFC3339))).Status, http.StatusOK)
	eventually(t, "the change has traveled ahead", func() bool { return f.hosts[2].history("guild") == 2 })
	f.isolate(f.hosts[2])
	within(t, []*hostProcess{f.hosts[2]}, "guild", 2, active)
	o, err := f.hosts[2].client().Submit(background(t), ticketOf(t, f.hosts[2]), job(3, 1))
	assert.NilError(t, err)
	checkAnswers(t, o, 3)
	assert.Equal(t, f.hosts[0].book(t, section("guild", "weight = 2")).Status, http.StatusOK)
	booked := time.Now()
	within(t, f.hosts[:2], "guild", 3, booked)
	assert.Equal(t, f.hosts[2].history("guild"), 2, "the cut is real")
	f.rejoin(f.hosts[2])
	within(t, f.hosts[2:], "guild", 3, time.Now())
}

// isolate cuts a host off from the platform and all hosts, but not from its
// callers and backend servers.
func (f *fleet) isolate(h *hostProcess) {
	f.store.Set(h.ip, proxy.Cut())
	h.link.Set(proxy.Any, proxy.Cut())
	for _, other := range f.hosts {
		other.link.Set(h.ip, proxy.Cut())
	}
}

func (f *fleet) rejoin(h *hostProcess) {
	f.store.Heal(h.ip)
	h.link.Heal(proxy.Any)
	for _, other := range f.hosts {
		other.link.Heal(h.ip)
	}
}

// history returns the newest version that a host knows, in force or not.
func (h *hostProcess) history(team string) int {
	c := http.Client{Timeout: 5 * time.Second}
	response, err := c.Get(h.operator + "/config/history?team=" + team)
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

// TestHoldQuota: a team's tasks in the fleet stay within its quota.
func TestHoldQuota(t *testing.T) {
	const quota = 6
	f := newFleet(t, options{
		hosts:   2,
		servers: 2,
		slots:   32,
	})
	booked := f.hosts[0].book(t, "[guild]\nservices = "+service+"\nquota = 6\n")
	assert.Equal(t, booked.Status, http.StatusOK, "%+v", booked)
	within(t, f.hosts, "guild", 1, time.Now())
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			o, err := f.hosts[i%2].client().Submit(background(t), ticketOf(t, f.hosts[i%2]), job(1, 1500))
			if err == nil && !o.Complete() {
				assert.Check(t, o.Ran == core.RanNo && o.Reason == core.ReasonQuota, "%+v", o)
			}
		})
	}
	wg.Wait()
	total, _ := f.starts()
	assert.Assert(t, total <= quota, "%d tasks at once, the quota is %d", total, quota)
	assert.Assert(t, total >= quota/2, "%d tasks, the quota of %d is not used", total, quota)
}
