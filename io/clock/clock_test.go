package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuspended checks that a suspension is counted whether or not the machine was suspended
// before the clock started.
func TestSuspended(t *testing.T) {
	tests := []struct {
		name  string
		first time.Duration
	}{
		{
			name: "never suspended before",
		},
		{
			name:  "suspended before the start",
			first: time.Hour,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sinceBoot := test.first
			c := newBootClock(func() time.Duration { return sinceBoot })
			began := c.now()
			assert.Equal(t, c.now().Sub(began), time.Duration(0))
			sinceBoot += 2 * time.Second
			assert.Equal(t, c.now().Sub(began), 2*time.Second)
		})
	}
}

// TestNow checks that the clock goes with time.Now while the machine is not suspended, by its
// monotonic reading.
func TestNow(t *testing.T) {
	outerBegin, begin, innerBegin := time.Now(), Now(), time.Now()
	time.Sleep(10 * time.Millisecond)
	innerEnd, end, outerEnd := time.Now(), Now(), time.Now()
	assert.Assert(t, end.Sub(begin) >= innerEnd.Sub(innerBegin))
	assert.Assert(t, end.Sub(begin) <= outerEnd.Sub(outerBegin))
	assert.Assert(t, end != end.Round(0), "no monotonic reading")
}
