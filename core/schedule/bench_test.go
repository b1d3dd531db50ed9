package schedule

import (
	"fmt"
	"testing"
)

// BenchmarkChoosePool measures the choice of a pool and a slot where the own pool is full and eight
// others have the servers.
func BenchmarkChoosePool(b *testing.B) {
	const lenders = 8
	for _, servers := range []int{350, 1122} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			m := New(self, limits)
			for i := range lenders {
				m.Update(epoch, CapacityMsg{
					Host:     fmt.Sprint("lender-", i),
					Capacity: poolWith(servers / lenders),
				})
			}
			w := jobOf("j", 1)
			j := newJob(epoch, w, m.predict(w), limits.UsefulLatencyFactor)
			order := j.order(j.tasks[0])
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				_, _ = m.choosePool(order)
			}
		})
	}
}
