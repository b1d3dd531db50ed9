package dispatch

import (
	"context"
	"sync"
	"time"

	"rosemarywalk/core/job"
	"rosemarywalk/core/ticket"
)

// jobRecord is a job's state outside of the job model.
type jobRecord struct {
	submission Submission
	done       chan struct{} // closed when outcome is set
	outcome    job.Outcome
	aborts     map[int]context.CancelFunc
	trace      trace
	timer      *time.Timer
	bytes      int
}

// shard holds the jobs of a subset of the tickets, under one lock.
type shard struct {
	mu      sync.Mutex
	model   *job.Model
	records map[ticket.ID]*jobRecord
	recent  []ticket.ID // finished, oldest first, kept for Explain
	events  int         // trace events of all finished jobs
}

// maxFinishedEvents bounds the trace events of finished jobs in one shard.
const maxFinishedEvents = 4000

// finish stores an outcome and returns the job's record, or nil if the job is unknown.
func (s *shard) finish(id ticket.ID, outcome job.Outcome) *jobRecord {
	w := s.records[id]
	if w == nil {
		return nil
	}
	w.outcome = outcome
	w.submission.Bodies = nil
	w.timer.Stop()
	s.recent = append(s.recent, id)
	s.events += len(w.trace.events)
	for s.events > maxFinishedEvents && len(s.recent) > 1 {
		oldest := s.recent[0]
		s.recent = s.recent[1:]
		s.events -= len(s.records[oldest].trace.events)
		delete(s.records, oldest)
	}
	return w
}
