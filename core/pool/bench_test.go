package pool

import (
	"fmt"
	"testing"
	"time"

	"rosemarywalk/core/work"
)

// BenchmarkRun measures one run from start to end on a pool of busy servers, with
// the free capacity computed after each change.
func BenchmarkRun(b *testing.B) {
	tests := []struct {
		name    string
		servers int
		limits  Limits
	}{
		{
			name:    "12 servers",
			servers: 12,
			limits:  limits,
		},
		{
			name:    "88 servers",
			servers: 88,
			limits:  limits,
		},
		{
			name:    "88 servers, ends predicted",
			servers: 88,
			limits:  predictingLimits(),
		},
		{
			name:    "12 servers, callers confirmed",
			servers: 12,
			limits:  lifetimeLimits(limits.Lease),
		},
		{
			name:    "88 servers, callers confirmed",
			servers: 88,
			limits:  lifetimeLimits(limits.Lease),
		},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			bench := newBusyHarness(b, test.limits, test.servers)
			ends := map[string]int{}
			b.ResetTimer()
			for n := range b.N {
				if n%100 == 0 {
					bench.update(ConfirmMsg{At: bench.now})
				}
				task := bench.confirmedTask(fmt.Sprint("job-", n), 0)
				bench.update(RunMsg{Task: task})
				_ = bench.model.Capacity(bench.now)
				server := bench.model.serverByTask[task.Name()]
				bench.acceptStart(server, task.Name(), 1)
				bench.advance(time.Millisecond)
				ends[server]++
				bench.answerPoll(server, func(m *PollResultMsg) {
					m.Ended = []ListedEnd{{
						Number: ends[server],
						Name:   task.Name(),
						Run:    1,
						End:    work.EndDone,
					}}
				})
				_ = bench.model.Capacity(bench.now)
				bench.update(TickMsg{})
			}
		})
	}
}

// BenchmarkConfirm measures the confirmation of one job beside a run on each server.
func BenchmarkConfirm(b *testing.B) {
	bench := newBusyHarness(b, lifetimeLimits(limits.Lease), 88)
	b.ResetTimer()
	for n := range b.N {
		bench.update(ConfirmMsg{
			Job: "standing-0",
			At:  bench.now.Add(time.Duration(n)),
		})
	}
}

// BenchmarkCapacity measures the free capacity of servers with a run each.
func BenchmarkCapacity(b *testing.B) {
	for _, servers := range []int{350, 1122} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			bench := newBusyHarness(b, limits, servers)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_ = bench.model.Capacity(bench.now)
			}
		})
	}
}

// BenchmarkChooseServer measures the choice of a server among as many.
func BenchmarkChooseServer(b *testing.B) {
	for _, servers := range []int{350, 1122} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			bench := newBusyHarness(b, limits, servers)
			task := bench.confirmedTask("job", 0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_, _ = bench.model.chooseServer(bench.now, task)
			}
		})
	}
}

// newBusyHarness returns a harness with a run on each server.
func newBusyHarness(b *testing.B, l Limits, servers int) *harness {
	b.Helper()
	ids := make([]string, 0, servers)
	for n := range servers {
		ids = append(ids, fmt.Sprintf("i-%03d", n))
	}
	bench := newHarnessWith(b, l, ids...)
	for n := range servers {
		task := bench.confirmedTask(fmt.Sprint("standing-", n), 0)
		bench.update(RunMsg{Task: task})
		bench.acceptStart(bench.model.serverByTask[task.Name()], task.Name(), 1)
	}
	return bench
}

// predictingLimits returns limits with which the ends of all runs are predicted.
func predictingLimits() Limits {
	l := limits
	l.MaxEnds = 16
	return l
}
