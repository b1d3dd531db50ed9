package overload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
)

// Settings with which speeds are learned and used.
const (
	speedWeight = 0.04
	speedFactor = 1.3
)

func (f *fleet) poolLimits() pool.Limits {
	limits := poolLimits()
	if f.Learn {
		limits.SpeedWeight = speedWeight
	}
	return limits
}

func (f *fleet) jobLimits() schedule.Limits {
	limits := jobLimits()
	if f.Learn {
		limits.SpeedFactor = speedFactor
	}
	return limits
}

// TestUnevenServers checks that jobs end in time although a quarter of the backend servers runs at 0.55
// of the usual speed and the others at 1.2: at up to 1.2 times the usual load, each kind of job
// nearly as often as where servers are alike.
func TestUnevenServers(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates two domains of a large site")
	}
	const target = 0.95
	for _, load := range []float64{0.5, 1, 1.2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			sum := map[string]verdict{}
			for seed := range uint64(3) {
				r := play(conditions{
					Seed:     seed,
					Homes:    3,
					Slowness: 1,
					Speeds:   []float64{0.55, 1.2, 1.2, 1.2},
					Learn:    true,
					Load:     load,
					WarmUp:   3 * time.Second,
				})
				for name, v := range r.classes {
					all := sum[name]
					all.submitted, all.onTime = all.submitted+v.submitted, all.onTime+v.onTime
					sum[name] = all
				}
			}
			for name, v := range sum {
				assert.Check(t, float64(v.onTime) >= target*float64(v.submitted), "%s: %d of %d in time", name, v.onTime, v.submitted)
			}
		})
	}
}
