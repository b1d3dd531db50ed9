package member

import (
	"fmt"
	"testing"
)

// BenchmarkPeriod measures one heartbeat period of one host: sending its heartbeats
// and processing those of the others.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []struct {
		hosts   int
		domains int
	}{
		{
			hosts:   9,
			domains: 3,
		},
		{
			hosts:   63,
			domains: 7,
		},
	} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			w := newSimulation(size.hosts, size.domains)
			for !w.converged() {
				w.step()
			}
			for b.Loop() {
				w.step()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(size.hosts), "us/host")
		})
	}
}
