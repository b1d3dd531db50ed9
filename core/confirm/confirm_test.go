package confirm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestTable checks that a call is dated by the latest question that was answered, less what
// the answer says and what clocks may drift, and never earlier than before.
func TestTable(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name   string
		answer func(*Table)
		want   time.Time
	}{
		{
			name:   "never confirmed",
			answer: func(*Table) {},
		},
		{
			name:   "confirmed as of now",
			answer: func(table *Table) { table.Confirm(1, start, 0) },
			want:   start,
		},
		{
			name:   "confirmed as of an earlier time on a slow clock",
			answer: func(table *Table) { table.Confirm(1, start, second) },
			want:   start.Add(-second - second/50),
		},
		{
			name: "answers that overtake each other",
			answer: func(table *Table) {
				table.Confirm(1, start.Add(second), 0)
				table.Confirm(1, start, 0)
			},
			want: start.Add(second),
		},
		{
			name:   "an answer for another call",
			answer: func(table *Table) { table.Confirm(2, start, 0) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			table.Add(1, time.Time{})
			test.answer(table)
			assert.Assert(t, table.At(1).Equal(test.want), table.At(1))
			assert.Equal(t, table.Len(), 1)
		})
	}
}

// TestDue checks that only calls without a recent confirmation are asked about.
func TestDue(t *testing.T) {
	table := New()
	table.Add(3, time.Time{})
	table.Add(2, start.Add(-1))
	table.Add(1, start)
	assert.DeepEqual(t, table.Due(start), []int{2, 3})
	table.Remove(3)
	assert.DeepEqual(t, table.Due(start), []int{2})
}

// TestSince checks that a period measured by a fast or a slow clock never ends too late.
func TestSince(t *testing.T) {
	assert.Assert(t, Since(start, time.Second).Equal(start.Add(980*time.Millisecond)))
	assert.Assert(t, Since(start, -time.Second).Equal(start.Add(-1020*time.Millisecond)))
}
