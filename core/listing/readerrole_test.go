package listing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDuty checks that one host of a large failure domain reads the lists, and that
// the others start to read in the order of their ranks when its updates stop.
func TestDuty(t *testing.T) {
	limits := ReaderRoleLimits{
		MaxReaders:   4,
		MaxUpdateAge: 1600 * time.Millisecond,
		RankDelay:    200 * time.Millisecond,
	}
	tests := []struct {
		name    string
		rank    int
		hosts   int
		updated bool
		age     time.Duration // time since the last update
		want    bool
	}{
		{
			name:    "the first reads",
			hosts:   16,
			updated: true,
			want:    true,
		},
		{
			name:  "all read until there are news",
			rank:  9,
			hosts: 16,
			want:  true,
		},
		{
			name:    "few hosts all read",
			rank:    3,
			hosts:   4,
			updated: true,
			want:    true,
		},
		{
			name:    "the news are fresh",
			rank:    1,
			hosts:   16,
			updated: true,
			age:     1799 * time.Millisecond,
		},
		{
			name:    "the news stopped",
			rank:    1,
			hosts:   16,
			updated: true,
			age:     1800 * time.Millisecond,
			want:    true,
		},
		{
			name:    "another one is to step in first",
			rank:    2,
			hosts:   16,
			updated: true,
			age:     1999 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			role, now := NewReaderRole(limits), time.Unix(1000, 0)
			if test.updated {
				role = role.WithUpdate(now)
			}
			assert.Equal(t, role.ShouldRead(now.Add(test.age), test.rank, test.hosts), test.want)
		})
	}
}
