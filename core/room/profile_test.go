package room

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

const ms = time.Millisecond

func cores(n int) work.Size { return work.Size{CPU: 1000 * n} }

// slot returns a slot with free cores whose runs end at the given times and release cores.
func slot(free int, ends ...[2]int) pool.Slot {
	s := pool.Slot{Free: cores(free)}
	for _, e := range ends {
		s.Ends = append(s.Ends, pool.End{
			In:   time.Duration(e[0]) * ms,
			Size: cores(e[1]),
		})
	}
	return s
}

func TestEarliest(t *testing.T) {
	labeled := slot(0, [2]int{300, 32})
	labeled.Labels = []string{"b"}
	tests := []struct {
		name    string
		slots   []pool.Slot
		kept    []Start
		request Request
		slot    []int
		in      []time.Duration
	}{
		{
			name:  "free now",
			slots: []pool.Slot{slot(4), slot(20)},
			request: Request{
				Size:  cores(20),
				Count: 1,
			},
			slot: []int{1},
			in:   []time.Duration{0},
		},
		{
			name:  "after two ends, not after one",
			slots: []pool.Slot{slot(0, [2]int{100, 16}, [2]int{150, 16}), slot(0, [2]int{50, 16}, [2]int{400, 16})},
			request: Request{
				Size:  cores(20),
				Count: 1,
			},
			slot: []int{0},
			in:   []time.Duration{150 * ms},
		},
		{
			name:  "two tasks share a server",
			slots: []pool.Slot{slot(0, [2]int{100, 32}), slot(0, [2]int{300, 32})},
			request: Request{
				Size:  cores(16),
				Count: 3,
			},
			slot: []int{0, 0, 1},
			in:   []time.Duration{100 * ms, 100 * ms, 300 * ms},
		},
		{
			name:  "two tasks of 17 cores don't share a server",
			slots: []pool.Slot{slot(0, [2]int{100, 32}), slot(0, [2]int{300, 32})},
			request: Request{
				Size:  cores(17),
				Count: 2,
			},
			slot: []int{0, 1},
			in:   []time.Duration{100 * ms, 300 * ms},
		},
		{
			name:  "less capacity stays idle",
			slots: []pool.Slot{slot(14, [2]int{100, 16}), slot(0, [2]int{120, 16})},
			request: Request{
				Size:  cores(16),
				Count: 1,
			},
			slot: []int{1},
			in:   []time.Duration{120 * ms},
		},
		{
			name:  "not beside a kept start",
			slots: []pool.Slot{slot(16, [2]int{100, 16}), slot(0, [2]int{300, 32})},
			kept: []Start{{
				Slot: 0,
				In:   100 * ms,
				Size: cores(20),
			}},
			request: Request{
				Size:  cores(16),
				Count: 1,
			},
			slot: []int{1},
			in:   []time.Duration{300 * ms},
		},
		{
			name:  "with a label",
			slots: []pool.Slot{slot(32), labeled},
			request: Request{
				Size:     cores(16),
				Requires: "b",
				Count:    1,
			},
			slot: []int{1},
			in:   []time.Duration{300 * ms},
		},
		{
			name:  "no end releases enough",
			slots: []pool.Slot{slot(0, [2]int{100, 16})},
			request: Request{
				Size:  cores(16),
				Count: 2,
			},
			slot: []int{0},
			in:   []time.Duration{100 * ms},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			starts := New(test.slots).WithKept(test.kept).Earliest(test.request)
			assert.Equal(t, len(starts), len(test.slot))
			for i, s := range starts {
				assert.Equal(t, s.Slot, test.slot[i])
				assert.Equal(t, s.In, test.in[i])
			}
		})
	}
}

func TestDelays(t *testing.T) {
	// 16 cores are free, and room for 20 is kept in 100 ms, when 16 more are released.
	profile := New([]pool.Slot{slot(16, [2]int{100, 16}), slot(16)}).WithKept([]Start{{
		Slot: 0,
		In:   100 * ms,
		Size: cores(20),
	}})
	tests := []struct {
		name   string
		slot   int
		size   int
		run    time.Duration
		delays bool
	}{
		{
			name: "ends in time",
			size: 16,
			run:  70 * ms,
		},
		{
			name:   "may end late",
			size:   16,
			run:    90 * ms,
			delays: true,
		},
		{
			name:   "unknown run time",
			size:   16,
			delays: true,
		},
		{
			name: "fits beside the kept start",
			size: 12,
			run:  time.Second,
		},
		{
			name: "another server",
			slot: 1,
			size: 16,
			run:  time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, profile.Delays(test.slot, cores(test.size), test.run), test.delays)
		})
	}
	// Of the 12 cores beside the kept start, 8 are taken by a run until then.
	assert.Assert(t, profile.WithRun(0, cores(8), 200*ms).Delays(0, cores(8), 200*ms))
	assert.Assert(t, !profile.WithRun(0, cores(8), 50*ms).Delays(0, cores(8), 200*ms))
}

// BenchmarkEarliest measures the starts of a job of 8 tasks on full servers.
func BenchmarkEarliest(b *testing.B) {
	for _, servers := range []int{50, 350, 1122} {
		b.Run(fmt.Sprint(servers, " servers"), func(b *testing.B) {
			slots := make([]pool.Slot, servers)
			for i := range slots {
				slots[i] = slot(0, [2]int{40 + i%50, 16}, [2]int{100 + i%500, 16})
			}
			profile := New(slots)
			b.ReportAllocs()
			for range b.N {
				profile.Earliest(Request{
					Size:  cores(18),
					Count: 8,
				})
			}
		})
	}
}
