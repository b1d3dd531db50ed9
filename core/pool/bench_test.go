package pool

import (
	"fmt"
	"testing"
	"time"

	"rosemarywalk/core/work"
)

// BenchmarkRun is the life of one run and the room told after each step, on a
// pool whose servers are busy.
func BenchmarkRun(b *testing.B) {
	for _, servers := range []int{12, 88} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			ids := make([]string, 0, servers)
			for n := range servers {
				ids = append(ids, fmt.Sprintf("i-%03d", n))
			}
			bench := newBench(b, ids...)
			for n := range servers {
				task := taskOf(fmt.Sprint("standing-", n))
				bench.do(RunMsg{Task: task})
				bench.accepted(bench.model.where[task.Name()], task.Name(), 1)
			}
			ends := map[string]int{}
			b.ResetTimer()
			for n := range b.N {
				task := taskOf(fmt.Sprint("job-", n))
				bench.do(RunMsg{Task: task})
				_ = bench.model.Capacity(bench.now)
				server := bench.model.where[task.Name()]
				bench.accepted(server, task.Name(), 1)
				bench.pass(time.Millisecond)
				ends[server]++
				bench.held(server, func(m *HeldMsg) {
					m.Ended = []Ended{{
						Number: ends[server],
						Name:   task.Name(),
						Run:    1,
						End:    work.EndDone,
					}}
				})
				_ = bench.model.Capacity(bench.now)
				bench.do(TickMsg{})
			}
		})
	}
}
