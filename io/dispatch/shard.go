package dispatch

import (
	"context"
	"sync"
	"time"

	"rosemarywalk/core/job"
	"rosemarywalk/core/ticket"
)

// work is what a shard keeps of a job beside the decision part's state.
type work struct {
	submission Submission
	done       chan struct{} // closed when outcome is set
	outcome    job.Outcome
	aborts     map[int]context.CancelFunc
	trace      trace
	timer      *time.Timer
	bytes      int
}

// shard is the jobs of one part of the tickets, under one lock.
type shard struct {
	mu     sync.Mutex
	model  *job.Model
	work   map[ticket.ID]*work
	recent []ticket.ID // finished, oldest first, for explain
	events int         // of all finished jobs
}

// eventsHeld bounds the trace events of finished jobs in one shard.
const eventsHeld = 4000

// finish stores an outcome and returns the work, or nil when it is unknown.
func (s *shard) finish(id ticket.ID, outcome job.Outcome) *work {
	w := s.work[id]
	if w == nil {
		return nil
	}
	w.outcome = outcome
	w.submission.Bodies = nil
	w.timer.Stop()
	s.recent = append(s.recent, id)
	s.events += len(w.trace.events)
	for s.events > eventsHeld && len(s.recent) > 1 {
		oldest := s.recent[0]
		s.recent = s.recent[1:]
		s.events -= len(s.work[oldest].trace.events)
		delete(s.work, oldest)
	}
	return w
}
