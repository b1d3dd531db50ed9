package proof

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/platform/standin"
)

// Limits of what a sound backend server does.
const (
	stopTimeout  = 50 * time.Millisecond // until a run that was ordered to stop has ended
	maxClockDrag = 0.02
)

const testSlots = 6

// testBehavior submits jobs while backend servers behave as given, some of them so slowly that
// their runs are stopped. disturb disturbs the servers meanwhile. No task has two concurrent runs,
// and each job is answered.
func testBehavior(t *testing.T, b standin.Behavior, slow int, disturb func(s *platformFleet)) {
	t.Helper()
	statuses := loadBehavior(t, b, slow, disturb)
	assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], behaviorJobs, statuses)
	t.Log(statuses)
}

const behaviorJobs = 60

// loadBehavior is testBehavior without the check of the answers, which it returns by status.
func loadBehavior(t *testing.T, b standin.Behavior, slow int, disturb func(s *platformFleet)) map[int]int {
	t.Helper()
	const (
		runTime, slowRunTime = 250 * time.Millisecond, 2 * time.Second
		pause                = 30 * time.Millisecond
	)
	b.RunTime, b.Slots = runTime, testSlots
	s := &platformFleet{
		wrapAddress: func(address string) string { return address },
		bornListed:  true,
	}
	t.Cleanup(s.saveLogs)
	s.start(t, 2, 6, b)
	b.RunTime = slowRunTime
	for _, server := range s.servers[:slow] {
		server.SetBehavior(b)
	}
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		disturb(s)
	}()
	statuses := s.load(behaviorJobs, pause)
	<-disturbed
	return statuses
}

func undisturbed(*platformFleet) {}

// pauseServers pauses one backend server after the other, for up to longer than their leases.
func pauseServers(s *platformFleet) {
	for i, server := range s.servers {
		server.Pause(time.Duration(i+1) * 300 * time.Millisecond)
	}
}

// restartServers restarts one backend server after the other. Their entries show it before the
// new processes answer, or later.
func restartServers(s *platformFleet) {
	for i := range s.servers {
		s.restartServer(i, testSlots, time.Duration(i)*200*time.Millisecond)
	}
}

// TestStoppedRunRunsTwice: a run that was being stopped, and was in neither list meanwhile,
// counted as ended.
func TestStoppedRunRunsTwice(t *testing.T) {
	testBehavior(t, standin.Behavior{
		StopTime:     stopTimeout,
		HideStopping: true,
	}, 2, undisturbed)
}

// TestClockJitterRunsTwice: runs of a server whose clock read a little ahead or behind counted as
// ended with its process.
func TestClockJitterRunsTwice(t *testing.T) {
	testBehavior(t, standin.Behavior{ClockJitter: 30 * time.Millisecond}, 0, undisturbed)
}

type oddServerTest struct {
	name     string
	behavior standin.Behavior
	disturb  func(s *platformFleet)
}

func oddServerTests() []oddServerTest {
	return []oddServerTest{
		{
			name: "slow stops, clock read at arrival, pauses",
			behavior: standin.Behavior{
				StopTime:    stopTimeout,
				ClockMoment: standin.ClockAtArrival,
				ClockDrag:   maxClockDrag,
				EarlyList:   true,
			},
			disturb: pauseServers,
		},
		{
			name: "busy, clock read anytime, ended runs listed first, new processes",
			behavior: standin.Behavior{
				StopTime:    stopTimeout,
				Latency:     60 * time.Millisecond,
				ClockMoment: standin.ClockAnytime,
				ListGap:     stopTimeout,
				EndedFirst:  true,
				Downtime:    100 * time.Millisecond,
				Startup:     150 * time.Millisecond,
			},
			disturb: restartServers,
		},
	}
}

// TestOddServersRunTwice: no task has two concurrent runs at servers that behave in other ways.
func TestOddServersRunTwice(t *testing.T) {
	for _, test := range oddServerTests() {
		t.Run(test.name, func(t *testing.T) { testBehavior(t, test.behavior, 1, test.disturb) })
	}
}

// TestOddServersOverlap checks the same without the answers, which are a known failure.
func TestOddServersOverlap(t *testing.T) {
	for _, test := range oddServerTests() {
		t.Run(test.name, func(t *testing.T) { t.Log(loadBehavior(t, test.behavior, 1, test.disturb)) })
	}
}

// saveLogs writes the hosts' logs to soakLogDir if the test failed.
func (s *platformFleet) saveLogs() {
	if *soakLogDir == "" || (!s.t.Failed() && len(s.checker.Violations()) == 0) {
		return
	}
	for _, h := range s.hosts {
		file := filepath.Join(*soakLogDir, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+h.name+".log")
		assert.Check(s.t, os.WriteFile(file, []byte(h.log.String()), 0o600))
	}
}
