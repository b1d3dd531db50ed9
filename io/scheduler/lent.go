package scheduler

import (
	"context"
	"strconv"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/work"
)

// lentRun is a task's run for another host.
type lentRun struct {
	listener chan pool.EndCmd // of the latest call for the run
	result   *pool.EndCmd     // once it ended
}

// lentMemory is how long the end of a lent run is kept for a host whose link
// broke before it heard of it.
const lentMemory = 2 * time.Second

// haltMemory is how long a halt waits for the task that it has overtaken; callers
// don't send a job again sooner.
const haltMemory = time.Second

// haltedEarly notes the halt of a task that isn't known here, under the lock: the
// halt may have overtaken the call that lends the task.
func (s *Shard) haltedEarly(task string) {
	s.halted[task]++
	time.AfterFunc(haltMemory, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.halted[task]--; s.halted[task] == 0 {
			delete(s.halted, task)
		}
	})
}

func lentOwner(t work.Task) string { return lentTo + t.Name() + "#" + strconv.Itoa(t.Run) }

// RunLent runs a task for another host and returns how its run ended. When the
// link breaks, the run goes on for a moment, and the same call attaches to it when
// it is made again. A run that isn't known then is not started: an earlier process
// of this host may have started it, or it may be ending.
func (s *Shard) RunLent(ctx context.Context, task work.Task, again bool) pool.EndCmd {
	owner := lentOwner(task)
	listener := make(chan pool.EndCmd, 1)
	s.mu.Lock()
	run, known := s.lent[owner]
	halted := s.halted[task.Name()] > 0
	if !known && (again || halted) {
		s.mu.Unlock()
		return notStarted(task, again)
	}
	if !known {
		run = &lentRun{}
		s.lent[owner] = run
	}
	run.listener = listener
	if run.result != nil {
		listener <- *run.result
	}
	s.mu.Unlock()
	if !known {
		s.update(pool.RunMsg{
			Task:  task,
			Owner: owner,
		})
	}
	select {
	case cmd := <-listener:
		return cmd
	case <-ctx.Done():
	}
	time.AfterFunc(s.reattach, func() { s.abandon(owner, listener) })
	return pool.EndCmd{
		Task:   task,
		End:    work.EndUnknown,
		Reason: core.ReasonCanceled,
	}
}

// notStarted is the end of a lent task that is not started here.
func notStarted(task work.Task, again bool) pool.EndCmd {
	cmd := pool.EndCmd{
		Task:   task,
		End:    work.EndNotStarted,
		Reason: core.ReasonCanceled,
	}
	if again {
		cmd.End, cmd.Reason = work.EndUnknown, core.ReasonLink
	}
	return cmd
}

// abandon stops a lent run that no call attached to.
func (s *Shard) abandon(owner string, listener chan pool.EndCmd) {
	s.mu.Lock()
	run := s.lent[owner]
	gone := run != nil && run.listener == listener && run.result == nil
	s.mu.Unlock()
	if gone {
		s.update(pool.StopMsg{Owner: owner})
	}
}

// lentEnd tells the end of a lent run, and keeps it for a while.
func (s *Shard) lentEnd(cmd pool.EndCmd) []effect {
	run := s.lent[cmd.Owner]
	if run == nil {
		return nil
	}
	run.result = &cmd
	listener := run.listener
	return []effect{func() {
		listener <- cmd
		time.AfterFunc(lentMemory, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.lent, cmd.Owner)
		})
	}}
}
