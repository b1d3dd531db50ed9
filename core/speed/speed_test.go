package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const weight = 0.04

// observed is a number of servers whose runs are observed in turn.
type observed struct {
	rng       *rand.Rand
	now       time.Time
	speeds    []float64
	estimates []Estimate
	usual     Usual
}

func observe(seed uint64, speeds ...float64) *observed {
	return &observed{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       time.Unix(1000, 0),
		speeds:    speeds,
		estimates: make([]Estimate, len(speeds)),
	}
}

// run ends one run at each server. Its prediction is off by about 0.3, all take load times as
// long, and 3 in 100 take seven times as long.
func (o *observed) run(load float64) {
	o.now = o.now.Add(150 * time.Millisecond)
	for i, v := range o.speeds {
		took := load * math.Exp(0.3*o.rng.NormFloat64()) / v
		if o.rng.Float64() < 0.03 {
			took *= 7
		}
		o.set(i, o.estimates[i].WithRun(o.now, time.Duration(took*float64(time.Second)), time.Second, weight))
	}
}

func (o *observed) set(i int, e Estimate) {
	o.usual = o.usual.With(o.estimates[i], e)
	o.estimates[i] = e
}

func (o *observed) speed(i int) float64 { return o.estimates[i].Speed(o.now, o.usual) }

// uneven are servers of which a quarter runs at 0.55 and the others at 1.2. The usual one is
// their geometric mean.
func uneven(n int) []float64 {
	var speeds []float64
	for range n / 4 {
		speeds = append(speeds, 0.55, 1.2, 1.2, 1.2)
	}
	return speeds
}

func TestSpeedLearned(t *testing.T) {
	for _, load := range []float64{0.7, 1, 1.6} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			o := observe(1, uneven(60)...)
			for range 30 {
				o.run(load)
			}
			for i, v := range o.speeds {
				got, want := o.speed(i), v/0.99
				assert.Assert(t, math.Abs(math.Log(got/want)) < 0.3, "server %d: %g, want about %g", i, got, want)
			}
		})
	}
}

// TestAlike checks that servers that are equally fast are taken for that nearly always.
func TestAlike(t *testing.T) {
	speeds := make([]float64, 60)
	for i := range speeds {
		speeds[i] = 1
	}
	o := observe(2, speeds...)
	differ, all := 0, 0
	for range 200 {
		o.run(1)
		for i := range speeds {
			all++
			if o.speed(i) != 1 {
				differ++
			}
		}
	}
	assert.Assert(t, differ*100 < all*5, "%d of %d differ", differ, all)
}

func TestFewRunsCountLittle(t *testing.T) {
	var e Estimate
	at := time.Unix(1000, 0)
	assert.Equal(t, e.Speed(at, Usual{}), 1.0)
	e = e.WithRun(at, 7*time.Second, time.Second, weight)
	assert.Assert(t, e.Speed(at, Usual{}) >= 0.8)
}

// TestSpeedForATime checks that the speed of a server that was slow for 5 s is as before 15 s
// later, and that it isn't taken for a slow one for ever if it gets no runs.
func TestSpeedForATime(t *testing.T) {
	o := observe(3, uneven(60)...)
	for range 30 {
		o.run(1)
	}
	o.speeds[1] = 1.2 / 5
	for range 33 {
		o.run(1)
	}
	slow := o.speed(1)
	assert.Assert(t, slow < 0.6, "%g", slow)
	idle := o.estimates[1].Speed(o.now.Add(time.Minute), o.usual)
	assert.Assert(t, idle >= 0.75, "%g", idle)
	o.speeds[1] = 1.2
	for range 100 {
		o.run(1)
	}
	assert.Assert(t, o.speed(1) >= 1, "%g", o.speed(1))
}

// TestUsualOfOthers checks that the mean forgets a server that leaves.
func TestUsualOfOthers(t *testing.T) {
	o := observe(4, 0.25, 1, 1, 1)
	for range 30 {
		o.run(1)
	}
	o.set(0, Estimate{})
	assert.Assert(t, math.Abs(o.usual.mean()) < 0.15, "%g", o.usual.mean())
	for i := 1; i < 4; i++ {
		o.set(i, Estimate{})
	}
	assert.Equal(t, o.usual.mean(), 0.0)
}

func TestTop(t *testing.T) {
	var s Shares
	assert.Equal(t, s.Top(0.1), 0.0)
	s.Add(1.25, 5)
	s.Add(1, 80)
	s.Add(0.55, 15)
	assert.Equal(t, s.Top(0.05), 1.25)
	assert.Equal(t, s.Top(0.1), 1.0)
	assert.Equal(t, s.Top(1), 0.55)
}
