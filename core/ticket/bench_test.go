package ticket

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkLedger measures a spent ticket's time, and its bytes when all
// tickets but a few in a hundred were used, in a shuffled order.
func BenchmarkLedger(b *testing.B) {
	for _, tickets := range []int{10_000, 1_000_000} {
		b.Run(fmt.Sprintf("tickets=%d", tickets), func(b *testing.B) {
			order := rand.New(rand.NewPCG(1, 1)).Perm(tickets)
			var l *Ledger
			for b.Loop() {
				l = NewLedger()
				for _, sequence := range order {
					if sequence%50 != 0 {
						l.MarkUsed(uint64(sequence))
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tickets), "ns/ticket")
			b.ReportMetric(float64(l.Size())/float64(tickets), "bytes/ticket")
		})
	}
}
