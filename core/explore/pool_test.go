package explore

import (
	"cmp"
	"flag"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	depth  = flag.Int("depth", 9, "deviations on a path")
	states = flag.Int("states", 0, "distinct states of each search, in place of the test's own bound")
)

// Most of what a search allocates is dropped at once.
func init() { debug.SetGCPercent(400) }

func TestPoolWorld(t *testing.T) {
	for _, test := range []struct {
		name   string
		states int // 4000 if it is 0
		Config
	}{
		{
			name: "late orders",
			Config: Config{
				Kinds: []Kind{Late, Repeat, Cut},
			},
		},
		{
			name: "lists of several moments",
			Config: Config{
				Kinds: []Kind{Odd, Late},
				Ways:  HideStopping | OldRunning | OldEnded,
			},
		},
		{
			name: "clocks and freezes",
			Config: Config{
				Kinds: []Kind{Odd, Freeze, Late},
				Ways:  ClockAhead | ClockBehind,
			},
		},
		{
			name: "servers born anew",
			Config: Config{
				Kinds: []Kind{Die, ListAhead, Late},
			},
		},
		{
			name: "other addresses",
			Config: Config{
				Kinds: []Kind{Move, Die, Late},
			},
		},
		{
			name:   "home replaced",
			states: 8000,
			Config: Config{
				First: []Event{{Kind: Answer}, {Kind: Replace}},
				Kinds: []Kind{Odd, Late, Release},
				Ways:  HideStopping,
			},
		},
		{
			name: "all",
			Config: Config{
				Kinds: []Kind{Freeze, Late, Repeat, Odd, Cut, Die, ListAhead, Move, Release, Replace},
				Ways:  HideStopping | OldRunning | OldEnded | ClockAhead | ClockBehind,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			assertUnbroken(t, cmp.Or(test.states, 4000), func(trace func(string)) World[Event] { return NewPoolWorld(test.Config, trace) })
		})
	}
}

// assertUnbroken fails the test if the world can break a rule.
func assertUnbroken(t *testing.T, budget int, world func(trace func(string)) World[Event]) {
	t.Helper()
	if *states > 0 {
		budget = *states
	}
	start := time.Now()
	r := Search(func() World[Event] { return world(nil) }, Bounds{
		Depth:  *depth,
		States: budget,
		Usual:  200,
	})
	t.Logf("%d states, all up to %d deviations, paths of up to %d events, %s",
		r.States, r.Depth, r.Longest, time.Since(start).Round(time.Millisecond))
	assert.Equal(t, r.Broken, "", strings.Join(Timeline(world, r.Path), "\n"))
}
