package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBudget checks that retries stay proportional to first attempts when every
// attempt fails.
func TestBudget(t *testing.T) {
	b := New(0.1, 5)
	retries := 0
	for range 1000 {
		b.Deposit(1)
		for b.Withdraw() {
			retries++
		}
	}
	assert.Equal(t, retries, 5+100-1)
}
