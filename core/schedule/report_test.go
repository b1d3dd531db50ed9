package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTeller checks that changes are reported to a home quickly while it is low on
// capacity, and rarely otherwise.
func TestTeller(t *testing.T) {
	limits := ReportIntervals{
		LowCapacity: 25 * time.Millisecond,
		Normal:      200 * time.Millisecond,
		Unchanged:   500 * time.Millisecond,
	}
	tests := []struct {
		name    string
		homeLow bool          // the home is low on capacity
		selfLow bool          // this host is low on capacity at the second call
		change  int           // at the second call; 0 at the first
		after   time.Duration // time from the first to the second call
		want    int
	}{
		{
			name:  "no change",
			after: 499 * time.Millisecond,
		},
		{
			name:  "no change for long",
			after: 500 * time.Millisecond,
			want:  1,
		},
		{
			name:   "a change",
			change: 1,
			after:  199 * time.Millisecond,
		},
		{
			name:   "a change some time ago",
			change: 1,
			after:  200 * time.Millisecond,
			want:   1,
		},
		{
			name:    "a change, and the home needs room",
			homeLow: true,
			change:  1,
			after:   25 * time.Millisecond,
			want:    1,
		},
		{
			name:    "no change, and the home needs room",
			homeLow: true,
			after:   25 * time.Millisecond,
		},
		{
			name:    "this host begins to need room",
			selfLow: true,
			want:    1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reporter := NewReporter(limits)
			start := time.Unix(1000, 0)
			assert.DeepEqual(t, reporter.Due(start, []string{"a"}, 0, false), []string{"a"})
			reporter.SetLow(start, "a", test.homeLow)
			due := reporter.Due(start.Add(test.after), []string{"a"}, test.change, test.selfLow)
			assert.Equal(t, len(due), test.want)
			reporter.Forget("a")
			assert.Equal(t, len(reporter.Due(start.Add(test.after), []string{"a"}, test.change, false)), 1)
		})
	}
}

// TestTellerScale checks the number of messages per second and home when no home is low
// on capacity.
func TestTellerScale(t *testing.T) {
	limits := ReportIntervals{
		LowCapacity: 25 * time.Millisecond,
		Normal:      200 * time.Millisecond,
		Unchanged:   500 * time.Millisecond,
	}
	reporter := NewReporter(limits)
	partners := []string{"a", "b", "c", "d", "e"}
	now, sent := time.Unix(1000, 0), 0
	for change := range 40 {
		sent += len(reporter.Due(now, partners, change, false))
		now = now.Add(limits.LowCapacity)
	}
	assert.Equal(t, sent, 5*len(partners))
}

// TestFormerHomeGetsNoReports checks that a host that isn't a partner receives reports from
// its own report of low capacity on until that expires, and that a partner receives each once.
func TestFormerHomeGetsNoReports(t *testing.T) {
	limits := ReportIntervals{
		LowCapacity: 25 * time.Millisecond,
		Normal:      200 * time.Millisecond,
		Unchanged:   500 * time.Millisecond,
	}
	tests := []struct {
		name  string
		host  string        // reports low capacity at first
		ended bool          // and then that it has enough
		after time.Duration // time since its last report
		want  []string
	}{
		{
			name: "a former home",
			host: "former",
			want: []string{"a", "b", "former"},
		},
		{
			name:  "some time ago",
			host:  "former",
			after: 1499 * time.Millisecond,
			want:  []string{"a", "b", "former"},
		},
		{
			name:  "expired",
			host:  "former",
			after: 1500 * time.Millisecond,
			want:  []string{"a", "b"},
		},
		{
			name:  "low no more",
			host:  "former",
			ended: true,
			want:  []string{"a", "b"},
		},
		{
			name: "a partner",
			host: "b",
			want: []string{"a", "b"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reporter := NewReporter(limits)
			now := time.Unix(1000, 0)
			reporter.SetLow(now, test.host, true)
			if test.ended {
				reporter.SetLow(now, test.host, false)
			}
			assert.DeepEqual(t, reporter.Due(now.Add(test.after), []string{"a", "b"}, 0, false), test.want)
		})
	}
}

// TestFormerHomeScale checks that a host that isn't a partner is sent as many reports as a
// partner that is low on capacity.
func TestFormerHomeScale(t *testing.T) {
	limits := ReportIntervals{
		LowCapacity: 25 * time.Millisecond,
		Normal:      200 * time.Millisecond,
		Unchanged:   500 * time.Millisecond,
	}
	reporter := NewReporter(limits)
	now, sent := time.Unix(1000, 0), map[string]int{}
	for change := range 40 {
		reporter.SetLow(now, "former", true)
		reporter.SetLow(now, "low", true)
		for _, host := range reporter.Due(now, []string{"low", "normal"}, change, false) {
			sent[host]++
		}
		now = now.Add(limits.LowCapacity)
	}
	assert.DeepEqual(t, sent, map[string]int{
		"former": 40,
		"low":    40,
		"normal": 5,
	})
}

// TestRoomGetsStale checks that no task is sent to a host that stopped reporting its
// capacity. The own pool needs no reports.
func TestRoomGetsStale(t *testing.T) {
	stale := limits
	stale.CapacityTTL = 2 * time.Second
	tests := []struct {
		name string
		host string
		age  time.Duration
		want int
	}{
		{
			name: "fresh",
			host: "other",
			age:  1999 * time.Millisecond,
			want: 1,
		},
		{
			name: "stale",
			host: "other",
			age:  2 * time.Second,
		},
		{
			name: "own",
			host: self,
			age:  time.Minute,
			want: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New(self, stale)
			m.Update(epoch, CapacityMsg{
				Host:     test.host,
				Capacity: poolWith(1),
			})
			job := jobOf("j", 1)
			now := epoch.Add(test.age)
			job.Arrived, job.Deadline = now, now.Add(time.Second)
			assert.Equal(t, len(runs(m.Update(now, submit(job)))), test.want)
		})
	}
}

// TestAwaitingJobAsksForReports guards against frequent reports of the capacity of other hosts
// while jobs only wait until other homes have acknowledged them.
func TestAwaitingJobAsksForReports(t *testing.T) {
	tests := []struct {
		name     string
		tasks    []int // of each job; the own pool fits eight
		requires string
		answered bool // by the other home
		want     bool
	}{
		{
			name: "no job",
		},
		{
			name:  "the own pool has room",
			tasks: []int{4, 4},
		},
		{
			name:  "it has room for one of them only",
			tasks: []int{4, 5},
			want:  true,
		},
		{
			name:     "acknowledged, and started",
			tasks:    []int{4},
			answered: true,
		},
		{
			name:     "acknowledged, and no server fits",
			tasks:    []int{1},
			requires: "label that no server has",
			answered: true,
			want:     true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newAnnouncingModel(self)
			m.limits.ShortJob = time.Second
			m.Update(epoch, HomesMsg{
				Hosts:   []string{otherHome},
				Domains: map[string]string{otherHome: "d"},
				Member:  true,
			})
			m.Update(epoch, AnnouncedMsg{
				Host:     otherHome,
				Complete: true,
			})
			for i, tasks := range test.tasks {
				j := jobOf(fmt.Sprint(i), tasks)
				j.Slack, j.Steps[0].Requires = time.Second, test.requires
				assert.Equal(t, len(runs(m.Update(epoch, submit(j)))), 0)
				if test.answered {
					m.Update(epoch, AcknowledgedMsg{
						Host:   otherHome,
						Jobs:   []string{j.ID},
						SentAt: epoch,
						Age:    time.Hour,
					})
				}
			}
			assert.Equal(t, m.LacksCapacity(epoch), test.want)
		})
	}
}
