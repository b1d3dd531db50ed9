package job

import (
	"fmt"
	"testing"
	"time"

	"rosemarywalk/core/ticket"
)

// BenchmarkJob measures a complete job in its shard, without I/O.
func BenchmarkJob(b *testing.B) {
	for _, tasks := range []int{10, 890} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			m := New(own, Retention{
				Age:   time.Minute,
				Bytes: 1 << 20,
			})
			sequence := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				runJob(m, id(own, sequence), tasks)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tasks), "ns/task")
		})
	}
}

// runJob processes one job from its submission to its outcome.
func runJob(m *Model, key ticket.ID, tasks int) {
	m.Update(start, SubmitMsg{
		ID:       key,
		Tasks:    tasks,
		Deadline: start.Add(time.Minute),
	})
	for i := range tasks {
		m.Update(start, StartMsg{
			ID:     key,
			Index:  i,
			Server: "s",
		})
		m.Update(start, AnswerMsg{
			ID:    key,
			Index: i,
		})
	}
}
