package inquiry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const window = time.Second

var epoch = time.Unix(1_000_000, 0)

// TestSilentTakenForUnaware guards against a cancelling that is acknowledged while a silent host
// may still start the job.
func TestSilentTakenForUnaware(t *testing.T) {
	enough := Votes{"s": 2}
	hosts := []string{"a", "b"}
	tests := []struct {
		name   string
		hosts  []string         // that may have the job in the end
		first  map[string]Votes // answers to the first question
		second map[string]Votes // to the one after the window
		after  time.Duration
		want   bool
	}{
		{
			name:  "no other host",
			after: 0,
			want:  true,
		},
		{
			name:  "all answered",
			hosts: hosts,
			first: map[string]Votes{
				"a": nil,
				"b": nil,
			},
			want: true,
		},
		{
			name:  "one is silent",
			hosts: hosts,
			first: map[string]Votes{"a": enough},
			after: window - 1,
		},
		{
			name:   "it can't have a majority",
			hosts:  hosts,
			first:  map[string]Votes{"a": enough},
			second: map[string]Votes{"a": enough},
			after:  window,
			want:   true,
		},
		{
			name:  "the votes are from before the window's end",
			hosts: hosts,
			first: map[string]Votes{"a": enough},
			after: window,
		},
		{
			name:   "too few votes",
			hosts:  hosts,
			first:  map[string]Votes{"a": enough},
			second: map[string]Votes{"a": {"s": 1}},
			after:  window,
		},
		{
			name:   "it answers late",
			hosts:  hosts,
			first:  map[string]Votes{"a": nil},
			second: map[string]Votes{"b": nil},
			after:  window,
			want:   true,
		},
		{
			name:  "it doesn't count as a host any more",
			hosts: []string{"a"},
			first: map[string]Votes{"a": nil},
			want:  true,
		},
		{
			name:  "a host is seen later",
			hosts: []string{"a", "b", "c"},
			first: map[string]Votes{
				"a": nil,
				"b": nil,
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			i := New(epoch, window)
			ask := func(now time.Time, answers map[string]Votes) {
				for _, host := range i.Due(now, hosts) {
					votes, ok := answers[host]
					i.Answer(host, votes, ok)
				}
			}
			ask(epoch, test.first)
			now := epoch.Add(test.after)
			if test.second != nil {
				ask(now, test.second)
			}
			assert.Equal(t, i.IsDone(now, test.hosts, func(votes map[string]Votes) bool { return votes["a"]["s"] >= 2 }), test.want)
		})
	}
}

// TestDue checks that hosts are asked one question at a time, and answering ones only as long as
// their votes are needed.
func TestDue(t *testing.T) {
	hosts := []string{"a", "b"}
	i := New(epoch, window)
	assert.DeepEqual(t, i.Due(epoch, hosts), hosts)
	i.Answer("a", nil, true)
	assert.Equal(t, len(i.Due(epoch.Add(retryDelay), hosts)), 0)
	i.Answer("b", nil, false)
	assert.DeepEqual(t, i.Due(epoch.Add(retryDelay), hosts), []string{"b"})
	i.Answer("b", nil, false)
	assert.DeepEqual(t, i.Due(epoch.Add(window), hosts), hosts)
	i.Answer("a", nil, true)
	i.Answer("b", nil, true)
	assert.Equal(t, len(i.Due(epoch.Add(2*window), hosts)), 0)
}
