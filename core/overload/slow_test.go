package overload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// target is the default setting.
const target = 10 * time.Millisecond

// TestSlowHostsServeNothing guards against homes that hardly serve anything once they have a
// little less processor time than the load takes: what is served must fall in proportion.
func TestSlowHostsServeNothing(t *testing.T) {
	tests := []struct {
		name      string
		homes     int
		period    time.Duration
		pauses    time.Duration
		least     float64 // part that is served of what there is processor time for; refusing the others takes some of it
		leastOdds float64 // credit of any class, relative to that of all
	}{
		{
			name:      "one home a failure domain",
			homes:     1,
			least:     0.75,
			leastOdds: 0.5,
		},
		{
			name:      "two homes a failure domain",
			homes:     2,
			least:     0.75,
			leastOdds: 0.5,
		},
		{
			// A short job is late if it has to wait for the next period.
			name:      "processor time once in 100 ms",
			homes:     1,
			period:    100 * time.Millisecond,
			least:     0.6,
			leastOdds: 0.5,
		},
		{
			// Pauses take a fifteenth of the processor time.
			name:      "pauses",
			homes:     1,
			pauses:    300 * time.Millisecond,
			least:     0.6,
			leastOdds: 0.5,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			need := 0.0 // cores that the load takes at hosts that aren't slow
			for _, slowness := range []float64{1, 1.5, 2, 3} {
				r := play(conditions{
					Seed:     1,
					Homes:    test.homes,
					Slowness: slowness,
					Target:   target,
					Extend:   true,
					Period:   test.period,
					Pauses:   test.pauses,
					WarmUp:   time.Second,
				})
				if slowness == 1 {
					need = r.busy
				}
				t.Logf("x %.2f: %s", slowness, r)
				credit := r.all().credit()
				assert.Check(t, credit >= test.least*min(1, hostCores/slowness/need), "x %.2f", slowness)
				for name, v := range r.classes {
					assert.Check(t, v.credit() >= test.leastOdds*credit, "x %.2f, %s", slowness, name)
				}
			}
		})
	}
}

// TestRefusalsOutlastOverload guards against jobs that are refused although the hosts have enough
// processor time again.
func TestRefusalsOutlastOverload(t *testing.T) {
	t.Parallel()
	const slowFor = 2 * time.Second
	r := play(conditions{
		Seed:     1,
		Homes:    1,
		Slowness: 3,
		Target:   target,
		Extend:   true,
		SlowFor:  slowFor,
		WarmUp:   slowFor + time.Second,
	})
	t.Log(r)
	assert.Check(t, r.all().credit() >= 0.98)
}

// String describes a report, for the log.
func (r *report) String() string {
	all := r.all()
	return fmt.Sprintf("credit %.3f (short %.2f, long %.2f, plain %.2f), refused %.3f %v, %.3f cores used, %d connections, %d calls overdue, %d heartbeats too late, latest tick %s",
		all.credit(), r.classes["short"].credit(), r.classes["long"].credit(), r.classes["plain"].credit(),
		float64(all.refused)/float64(all.submitted), r.refusedBy, r.busy, r.connections, r.overdue, r.silent, r.longest.Round(time.Millisecond))
}
