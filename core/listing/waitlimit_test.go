package listing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestWaitsKeepRowFromMoving guards against a row that is never written as its waits make it too
// large for the link: it checks how many waits each row has, given what became of those before.
func TestWaitsKeepRowFromMoving(t *testing.T) {
	const routes = 100
	tests := []struct {
		name     string
		answered func(waits int) bool
		rows     []int
	}{
		{
			name:     "all answered",
			answered: func(int) bool { return true },
			rows:     []int{routes, routes, routes},
		},
		{
			name:     "none answered",
			answered: func(int) bool { return false },
			rows:     []int{routes, 0, 0, 0},
		},
		{
			name:     "large ones unanswered",
			answered: func(waits int) bool { return waits < 30 },
			rows:     []int{routes, 0, routes, 0, 50, 0, 25, 27, 29, 31, 0, 31, 0, 15},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var limit WaitLimit
			var rows []int
			for range test.rows {
				waits := len(limit.MostUsed(make([]RouteWait, routes)))
				rows = append(rows, waits)
				if test.answered(waits) {
					limit = limit.WithAccepted()
				} else {
					limit = limit.WithUnanswered(waits)
				}
			}
			assert.DeepEqual(t, rows, test.rows)
		})
	}
}

// TestOutageKeepsWaits guards against waits that are left out of the row for long after the store
// gave no answer for some time, as a loss of all hosts would then lose them.
func TestOutageKeepsWaits(t *testing.T) {
	const routes = 100
	limit := WaitLimit{}.WithUnanswered(routes)
	for range 10 {
		limit = limit.WithUnanswered(0)
	}
	limit = limit.WithAccepted()
	assert.Equal(t, len(limit.MostUsed(make([]RouteWait, routes))), routes)
}
