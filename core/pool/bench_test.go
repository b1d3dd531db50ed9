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
	for _, servers := range []int{12, 88} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			ids := make([]string, 0, servers)
			for n := range servers {
				ids = append(ids, fmt.Sprintf("i-%03d", n))
			}
			bench := newHarness(b, ids...)
			for n := range servers {
				task := taskOf(fmt.Sprint("standing-", n))
				bench.update(RunMsg{Task: task})
				bench.acceptStart(bench.model.serverByTask[task.Name()], task.Name(), 1)
			}
			ends := map[string]int{}
			b.ResetTimer()
			for n := range b.N {
				task := taskOf(fmt.Sprint("job-", n))
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
