package confirm

import (
	"slices"
	"time"
)

// maxClockDrift bounds how far a steady clock may run fast or slow, as a fraction.
const maxClockDrift = 0.02

// Table holds the open calls of one link, by number.
type Table struct {
	calls map[int]time.Time // when the caller was last known to wait; zero if unknown
}

// New returns a table without calls.
func New() *Table { return &Table{calls: map[int]time.Time{}} }

// Add adds a call whose caller was known to wait at a time, which is zero if unknown.
func (t *Table) Add(call int, at time.Time) { t.calls[call] = at }

// Remove removes a call.
func (t *Table) Remove(call int) { delete(t.calls, call) }

// Len returns the number of open calls.
func (t *Table) Len() int { return len(t.calls) }

// At returns when a call's caller was last known to wait, or zero if that is unknown.
func (t *Table) At(call int) time.Time { return t.calls[call] }

// Due returns the calls that were not confirmed since a time, sorted.
func (t *Table) Due(since time.Time) []int {
	var due []int
	for call, at := range t.calls {
		if at.Before(since) {
			due = append(due, call)
		}
	}
	slices.Sort(due)
	return due
}

// Confirm records the answer to a question that was sent at a time: the caller was known
// to wait no longer than age before the answer.
func (t *Table) Confirm(call int, sent time.Time, age time.Duration) {
	at, open := t.calls[call]
	if confirmed := sent.Add(-lengthen(age)); open && confirmed.After(at) {
		t.calls[call] = confirmed
	}
}

// Since returns a time that is not later than the end of a period which another host has
// measured. The period began after a time on the own clock; it is negative if it ended
// before that.
func Since(began time.Time, period time.Duration) time.Time {
	if period < 0 {
		return began.Add(-lengthen(-period))
	}
	return began.Add(period - drift(period))
}

// Before returns a time that is at least as long before a time on the own clock as a period
// which another host has measured.
func Before(at time.Time, period time.Duration) time.Time { return at.Add(-lengthen(period)) }

func lengthen(d time.Duration) time.Duration { return d + drift(d) }

func drift(d time.Duration) time.Duration { return time.Duration(maxClockDrift * float64(d)) }
