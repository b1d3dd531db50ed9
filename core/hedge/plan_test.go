package hedge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/hedge"
)

// TestPlan checks when attempts are sent and given up, with and without delays of this process.
func TestPlan(t *testing.T) {
	const (
		answer = 600 * time.Millisecond
		wait   = time.Second
		most   = 300 * time.Millisecond
	)
	tests := []struct {
		name   string
		delays []time.Duration // of this process, when an attempt is found overdue
		want   []time.Duration // timeouts
		steps  []hedge.Step
	}{
		{
			name:   "on time",
			delays: []time.Duration{0, 5 * time.Millisecond, 0},
			want:   []time.Duration{wait + answer, answer, answer},
			steps:  []hedge.Step{hedge.Repeat{}, hedge.Repeat{}, hedge.GiveUp{}},
		},
		{
			name:   "late once",
			delays: []time.Duration{40 * time.Millisecond, 0, 0, 0},
			want:   []time.Duration{wait + answer, 40 * time.Millisecond, answer, answer},
			steps:  []hedge.Step{hedge.Extend{}, hedge.Repeat{}, hedge.Repeat{}, hedge.GiveUp{}},
		},
		{
			name:   "late all the time",
			delays: []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second, time.Second},
			want:   []time.Duration{wait + answer, most, answer, most, answer, most},
			steps:  []hedge.Step{hedge.Extend{}, hedge.Repeat{}, hedge.Extend{}, hedge.Repeat{}, hedge.Extend{}, hedge.GiveUp{}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			plan := hedge.New(hedge.Limits{
				Answer:   answer,
				Attempts: 3,
				OwnDelay: most,
			}, wait)
			for i, delay := range test.delays {
				assert.Equal(t, plan.Timeout(), test.want[i])
				var step hedge.Step
				plan, step = plan.WithOverdue(delay)
				assert.Equal(t, step, test.steps[i])
			}
		})
	}
}
