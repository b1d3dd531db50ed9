package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/work"
)

// newRetainingModel returns a model with the outcomes of a number of jobs.
func newRetainingModel(jobs int) *Model {
	m := newModel(4)
	for i := range jobs {
		m.Update(epoch, SubmitMsg{
			Job:      work.Job{ID: fmt.Sprint(i)},
			Canceled: true,
		})
	}
	return m
}

// TestTickVisitsAllOutcomes guards against ticks that take longer with each outcome that is
// retained, and checks that outcomes go in time.
func TestTickVisitsAllOutcomes(t *testing.T) {
	const (
		jobs     = 100_000
		ticks    = 10
		maxShare = 2 // ticks in which all outcomes could be visited
	)
	m := newRetainingModel(jobs)
	began := time.Now()
	visited := 0
	for range m.finished {
		visited++
	}
	visit := time.Since(began)
	assert.Equal(t, visited, jobs)
	began = time.Now()
	for range ticks {
		m.Update(epoch, TickMsg{})
	}
	took := time.Since(began)
	assert.Assert(t, took < maxShare*visit, "%s, one visit takes %s", took, visit)

	last := epoch.Add(m.limits.OutcomeRetention)
	m.Update(last, TickMsg{})
	assert.Equal(t, len(m.finished), jobs)
	m.Update(last.Add(1), TickMsg{})
	assert.Assert(t, m.Idle() && len(m.retained) == 0)
}

// BenchmarkTick measures the tick of a home that has ended 200 jobs a second.
func BenchmarkTick(b *testing.B) {
	const jobsPerSecond = 200
	m := newRetainingModel(jobsPerSecond * int(limits.OutcomeRetention.Seconds()))
	for b.Loop() {
		m.Update(epoch, TickMsg{})
	}
}
