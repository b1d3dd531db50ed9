package scheduler

import (
	"context"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
)

// submitLocally submits a job to the shard that knows it, or else to that of its service, and
// returns its outcome like Shard.Do. Another shard may know it no more by the time at which
// it decides.
func (s *Scheduler) submitLocally(ctx context.Context, msg schedule.SubmitMsg, dropAfter time.Duration) (outcome work.Outcome, ok bool) {
	for range maxJoins {
		wait, other, waiting := s.submitOnce(ctx, msg)
		if !waiting {
			return work.Outcome{}, false
		}
		outcome, ok = wait(dropAfter)
		if !ok || !other || msg.JoinOnly || outcome.State != work.Absent {
			return outcome, ok
		}
	}
	return work.Outcome{
		State:  work.Broken,
		Reason: core.ReasonLink,
	}, true
}

// submitOnce passes a job to a shard, and reports whether that is one of another service.
func (s *Scheduler) submitOnce(ctx context.Context, msg schedule.SubmitMsg) (wait outcomeFunc, other, ok bool) {
	s.refreshHomes()
	defer s.lockJobs(msg.Job.ID)()
	shard := s.shardOf(msg.Job.Service, msg.AbsentAt, msg.Job.ID)
	msg.Canceled = s.isCanceled(msg.Job)
	msg.OtherService = shard.service != msg.Job.Service
	wait, ok = shard.submit(ctx, msg)
	return wait, msg.OtherService, ok
}

// lockJobs keeps jobs from being passed to other shards until the returned function is called.
func (s *Scheduler) lockJobs(ids ...string) (unlock func()) {
	locks := make([]int, 0, len(ids))
	for _, id := range ids {
		locks = append(locks, int(hashOf(id)%uint64(len(s.jobLocks))))
	}
	slices.Sort(locks)
	locks = slices.Compact(locks)
	for _, lock := range locks {
		s.jobLocks[lock].Lock()
	}
	return func() {
		for _, lock := range locks {
			s.jobLocks[lock].Unlock()
		}
	}
}

func (s *Scheduler) shardOf(service, absentAt, id string) *Shard {
	return s.shardsOf(service, absentAt, id)[id]
}

// shardsOf returns the shards that decide about jobs, by ID: one that has the job, else one
// to which a home other than absentAt announced it, else that of the service. The service of a
// job changes with its route, also between its attempts.
func (s *Scheduler) shardsOf(service, absentAt string, ids ...string) map[string]*Shard {
	own := s.Shard(service)
	shards := []*Shard{own}
	for _, shard := range s.all() {
		if shard != own {
			shards = append(shards, shard)
		}
	}
	having, announced := map[string]*Shard{}, map[string]*Shard{}
	for _, shard := range shards {
		shard.lookUp(ids, absentAt, having, announced)
	}
	byID := make(map[string]*Shard, len(ids))
	for _, id := range ids {
		switch {
		case having[id] != nil:
			byID[id] = having[id]
		case announced[id] != nil:
			byID[id] = announced[id]
		default:
			byID[id] = own
		}
	}
	return byID
}

// lookUp adds the shard to those that have jobs, or to which they were announced, unless
// there is one already.
func (s *Shard) lookUp(ids []string, absentAt string, having, announced map[string]*Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, id := range ids {
		if having[id] == nil && s.jobs.Has(id) {
			having[id] = s
		}
		if announced[id] == nil && s.jobs.IsAnnounced(now, id, absentAt) {
			announced[id] = s
		}
	}
}
