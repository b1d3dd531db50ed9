package scheduler

import (
	"sync"
	"time"
)

// announceGap is the shortest time between two frames to a home that announce new jobs of a
// shard. A job waits that long at most before it is announced.
const announceGap = 2 * time.Millisecond

// announcer collects the jobs of a shard that are to be announced at once: those that come
// close together share one frame to each other home.
type announcer struct {
	now  func() time.Time
	send func(jobs []string)

	mu     sync.Mutex
	jobs   []string // that are not announced yet
	sentAt time.Time
}

// add announces a job at once, or together with those that follow in the time until the next
// frame is due.
func (a *announcer) add(job string) {
	a.mu.Lock()
	a.jobs = append(a.jobs, job)
	first, wait := len(a.jobs) == 1, announceGap-a.now().Sub(a.sentAt)
	a.mu.Unlock()
	switch {
	case !first:
	case wait <= 0:
		a.flush()
	default:
		time.AfterFunc(wait, a.flush)
	}
}

func (a *announcer) flush() {
	a.mu.Lock()
	jobs := a.jobs
	a.jobs, a.sentAt = nil, a.now()
	a.mu.Unlock()
	a.send(jobs)
}
