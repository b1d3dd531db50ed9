package stall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDetector checks that each gap of at least the limit is counted exactly once.
func TestDetector(t *testing.T) {
	const limit = 500 * time.Millisecond
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		pass time.Duration
		want int
	}{
		{
			name: "first asked",
		},
		{
			name: "a short gap",
			pass: limit - 1,
		},
		{
			name: "a long gap",
			pass: limit,
			want: 1,
		},
		{
			name: "asked again",
			want: 1,
		},
		{
			name: "another long gap",
			pass: limit,
			want: 2,
		},
		{
			name: "another short gap",
			pass: limit / 2,
			want: 2,
		},
	}
	d := New(limit)
	for _, test := range tests {
		now = now.Add(test.pass)
		count, _ := d.Observe(now)
		assert.Equal(t, count, test.want, test.name)
	}
}
