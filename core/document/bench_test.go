package document

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures one check of all activation times.
func BenchmarkTick(b *testing.B) {
	for _, teams := range []int{7, 67} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			m := New()
			for n := range teams {
				var active []time.Time
				for v := range 50 {
					active = append(active, now.Add(time.Duration(v)*time.Hour))
				}
				r := recordOf(active...)
				r.Team = fmt.Sprintf("team-%d", n)
				m.Update(now, RecordMsg{Record: r})
			}
			for b.Loop() {
				m.Update(now, TickMsg{})
			}
		})
	}
}
