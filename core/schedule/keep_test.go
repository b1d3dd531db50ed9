package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// pairLoad is the load of tasks that fit into a server in pairs or alone: 16 cores on average, on
// servers of 32.
func pairLoad() []class {
	classes := fleetLoad()
	for i := range classes {
		classes[i].cpu = 16000
	}
	return classes
}

// shareOnTime returns the share of answers in time, and the mean wait of the jobs that were done,
// of the part of the jobs between two quantiles of the task size.
func (r *fleetReport) shareOnTime(from, to float64) (share float64, wait time.Duration) {
	slices.SortStableFunc(r.answers, func(a, b fleetAnswer) int { return cmp.Compare(a.cpu, b.cpu) })
	n := float64(len(r.answers))
	part := r.answers[int(from*n):int(to*n)]
	onTime, done := 0, 0
	for _, a := range part {
		if a.onTime {
			onTime++
		}
		if a.done {
			done++
			wait += a.wait
		}
	}
	return float64(onTime) / float64(len(part)), wait / time.Duration(max(1, done))
}

func TestKeepTrial(t *testing.T) {
	for _, factor := range []float64{0.8, 1, 1.2, 1.5, 2} {
		for _, kept := range []int{0, 1, 2, 4, 8, 32} {
			l := defaultLimits
			l.KeptJobs = kept
			var credit, large, upper, rest float64
			var wl, wu, wr time.Duration
			const seeds = 6
			for seed := range uint64(seeds) {
				r := newFleetReplay(seed, l)
				r.tail = 0.03
				report := r.play(pairLoad(), factor, replayLength)
				credit += report.credit() / seeds
				s, w := report.shareOnTime(0.9, 1)
				large += s / seeds
				wl += w / seeds
				s, w = report.shareOnTime(0.7, 0.9)
				upper += s / seeds
				wu += w / seeds
				s, w = report.shareOnTime(0, 0.7)
				rest += s / seeds
				wr += w / seeds
			}
			fmt.Printf("load %.1f kept %2d: credit %.3f; on time: largest tenth %.3f (%s), next fifth %.3f (%s), rest %.3f (%s)\n", factor, kept, credit, large, wl.Round(time.Millisecond), upper, wu.Round(time.Millisecond), rest, wr.Round(time.Millisecond))
		}
	}
}
