package schedule

import (
	"maps"
	"slices"
	"time"
)

// maxCancellations bounds the memory that requests to cancel unknown jobs take.
const maxCancellations = 100_000

// Cancellations are the recent requests to cancel jobs. Submissions and hosts that held a job
// meanwhile may come later.
type Cancellations struct {
	retention time.Duration
	byID      map[string]map[string]time.Time // when a request expires, by job ID and queue
	oldest    []cancellation                  // in order of expiry
}

// JobName is what callers know a job by.
type JobName struct{ Queue, ID string }

// Matches reports whether two names are those of one job, as far as is known.
func (n JobName) Matches(o JobName) bool { return n.ID == o.ID && sameQueue(n.Queue, o.Queue) }

type cancellation struct {
	name      JobName
	expiresAt time.Time
}

// NewCancellations returns a record of requests that keeps each for a time.
func NewCancellations(retention time.Duration) *Cancellations {
	return &Cancellations{
		retention: retention,
		byID:      map[string]map[string]time.Time{},
	}
}

// Add records a request to cancel a queue's job.
func (c *Cancellations) Add(now time.Time, queue, id string) {
	for len(c.oldest) > 0 && (!now.Before(c.oldest[0].expiresAt) || len(c.oldest) >= maxCancellations) {
		c.removeOldest()
	}
	if c.byID[id] == nil {
		c.byID[id] = map[string]time.Time{}
	}
	added := cancellation{
		name: JobName{
			Queue: queue,
			ID:    id,
		},
		expiresAt: now.Add(c.retention),
	}
	c.byID[id][queue] = added.expiresAt
	c.oldest = append(c.oldest, added)
}

// removeOldest removes the oldest request, unless it was repeated.
func (c *Cancellations) removeOldest() {
	first := c.oldest[0]
	c.oldest = c.oldest[1:]
	queues := c.byID[first.name.ID]
	if queues[first.name.Queue].Equal(first.expiresAt) {
		delete(queues, first.name.Queue)
	}
	if len(queues) == 0 {
		delete(c.byID, first.name.ID)
	}
}

// Has reports whether the cancelling of a queue's job was requested.
func (c *Cancellations) Has(now time.Time, queue, id string) bool {
	for canceled, expiresAt := range c.byID[id] {
		if now.Before(expiresAt) && sameQueue(canceled, queue) {
			return true
		}
	}
	return false
}

// Named returns the jobs with one of the IDs whose cancelling was requested.
func (c *Cancellations) Named(now time.Time, ids []string) []JobName {
	var names []JobName
	for _, id := range ids {
		for _, queue := range slices.Sorted(maps.Keys(c.byID[id])) {
			if now.Before(c.byID[id][queue]) {
				names = append(names, JobName{
					Queue: queue,
					ID:    id,
				})
			}
		}
	}
	return names
}
