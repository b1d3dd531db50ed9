package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTeller: a home is told soon of changes while it needs room, and rarely
// otherwise.
func TestTeller(t *testing.T) {
	limits := TellLimits{
		Soon:  25 * time.Millisecond,
		Later: 200 * time.Millisecond,
		Again: 500 * time.Millisecond,
	}
	tests := []struct {
		name   string
		needy  bool          // the home
		need   bool          // this host, from the second look on
		change int           // at the second look; 1 at the first
		after  time.Duration // of the second look
		want   int
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
			name:   "a change, and the home needs room",
			needy:  true,
			change: 1,
			after:  25 * time.Millisecond,
			want:   1,
		},
		{
			name:  "no change, and the home needs room",
			needy: true,
			after: 25 * time.Millisecond,
		},
		{
			name: "this host begins to need room",
			need: true,
			want: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			teller := NewTeller(limits)
			start := time.Unix(1000, 0)
			assert.DeepEqual(t, teller.Due(start, []string{"a"}, 0, false), []string{"a"})
			teller.Need(start, "a", test.needy)
			due := teller.Due(start.Add(test.after), []string{"a"}, test.change, test.need)
			assert.Equal(t, len(due), test.want)
			teller.Forget("a")
			assert.Equal(t, len(teller.Due(start.Add(test.after), []string{"a"}, test.change, false)), 1)
		})
	}
}

// TestTellerScale: messages of a calm fleet a second, for each home.
func TestTellerScale(t *testing.T) {
	limits := TellLimits{
		Soon:  25 * time.Millisecond,
		Later: 200 * time.Millisecond,
		Again: 500 * time.Millisecond,
	}
	teller := NewTeller(limits)
	partners := []string{"a", "b", "c", "d", "e"}
	now, sent := time.Unix(1000, 0), 0
	for change := range 40 {
		sent += len(teller.Due(now, partners, change, false))
		now = now.Add(limits.Soon)
	}
	assert.Equal(t, sent, 5*len(partners))
}

// TestRoomGetsStale: nothing goes to a host that no longer tells of its room; the
// own room needs no telling.
func TestRoomGetsStale(t *testing.T) {
	stale := limits
	stale.Stale = 2 * time.Second
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
				Capacity: roomOf(1),
			})
			job := jobOf("j", 1)
			now := epoch.Add(test.age)
			job.Arrived, job.Deadline = now, now.Add(time.Second)
			assert.Equal(t, len(runs(m.Update(now, submit(job)))), test.want)
		})
	}
}
