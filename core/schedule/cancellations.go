package schedule

import (
	"container/list"
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
	byID      map[string]map[string]*list.Element // in oldest, by job ID and queue
	oldest    *list.List                          // of cancellations in order of expiry, one for each job
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
		byID:      map[string]map[string]*list.Element{},
		oldest:    list.New(),
	}
}

// Add records a request to cancel a queue's job, and keeps it for longer if it is repeated.
func (c *Cancellations) Add(now time.Time, queue, id string) {
	if e := c.byID[id][queue]; e != nil {
		c.remove(e)
	}
	for e := c.oldest.Front(); e != nil && (isExpired(now, e) || c.oldest.Len() >= maxCancellations); e = c.oldest.Front() {
		c.remove(e)
	}
	if c.byID[id] == nil {
		c.byID[id] = map[string]*list.Element{}
	}
	c.byID[id][queue] = c.oldest.PushBack(cancellation{
		name: JobName{
			Queue: queue,
			ID:    id,
		},
		expiresAt: now.Add(c.retention),
	})
}

func (c *Cancellations) remove(e *list.Element) {
	name := c.oldest.Remove(e).(cancellation).name
	delete(c.byID[name.ID], name.Queue)
	if len(c.byID[name.ID]) == 0 {
		delete(c.byID, name.ID)
	}
}

func isExpired(now time.Time, e *list.Element) bool {
	return !now.Before(e.Value.(cancellation).expiresAt)
}

// Has reports whether the cancelling of a queue's job was requested.
func (c *Cancellations) Has(now time.Time, queue, id string) bool {
	for canceled, e := range c.byID[id] {
		if !isExpired(now, e) && sameQueue(canceled, queue) {
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
			if !isExpired(now, c.byID[id][queue]) {
				names = append(names, JobName{
					Queue: queue,
					ID:    id,
				})
			}
		}
	}
	return names
}
