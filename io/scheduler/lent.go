package scheduler

import (
	"context"
	"strconv"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/core/work"
	"rosemarywalk/io/peer"
)

// lentRun is the run of a task on behalf of another host.
type lentRun struct {
	home     string
	ctx      context.Context  // of the latest call for the run
	listener chan pool.EndCmd // receives the end; belongs to that call
	result   *pool.EndCmd     // set when the run has ended
}

// lentResultRetention is how long the result of a lent run is kept for a host whose link
// broke before it received the result.
const lentResultRetention = 2 * time.Second

// earlyHaltRetention is how long a halt is kept for a task that is still to arrive.
// Callers don't resubmit a job within this time.
const earlyHaltRetention = time.Second

// lentTask is a task by its name and the home that lends it.
type lentTask struct{ home, name string }

// recordEarlyHalt records the halt of a task that doesn't run here for its home: the halt may
// have overtaken the call that lends the task. The caller holds s.mu.
func (s *Shard) recordEarlyHalt(task lentTask) {
	s.earlyHalts[task]++
	time.AfterFunc(earlyHaltRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.earlyHalts[task]--; s.earlyHalts[task] == 0 {
			delete(s.earlyHalts, task)
		}
	})
}

// haltedEarly reports whether a halt may have overtaken the call by which a home lends a task.
// The caller holds s.mu.
func (s *Shard) haltedEarly(home, name string) bool {
	return s.earlyHalts[lentTask{
		home: home,
		name: name,
	}] > 0 || s.earlyHalts[lentTask{name: name}] > 0
}

func lentOwner(t work.Task) string { return lentOwnerPrefix + t.Name() + "#" + strconv.Itoa(t.Run) }

// RunLent runs a task for another home and returns how its run ended. When the link
// breaks, the run continues for the reattach time, so that a repeated call can attach to
// it. A repeated call for an unknown run does not start it: an earlier process of this
// host may have started it, or it may be ending. Neither does a call
// whose caller is known to be gone. A task of a job that another home coordinates is not
// started, and its end is unknown, so that the calling home doesn't start it elsewhere.
func (s *Shard) RunLent(ctx context.Context, home string, task work.Task, retried bool) pool.EndCmd {
	owner := lentOwner(task)
	listener := make(chan pool.EndCmd, 1)
	confirmedAt, waiting := peer.Confirm(ctx)
	s.mu.Lock()
	run, known := s.lent[owner]
	if !s.accepts(home, task, run) {
		s.mu.Unlock()
		s.log.Info("order held back", "job", task.Job, "task", task.Name(), "run", task.Run, "home", home)
		return pool.EndCmd{
			Task:   task,
			End:    work.EndUnknown,
			Reason: core.ReasonElsewhere,
		}
	}
	halted := s.haltedEarly(home, task.Name())
	if !known && (retried || halted || !waiting) {
		s.mu.Unlock()
		return rejectLent(task, retried)
	}
	if known && !retried && run.result != nil && run.result.End == work.EndNotStarted {
		// The other host knows that result, and lends the task again.
		known = false
	}
	if !known {
		run = &lentRun{home: home}
		s.lent[owner] = run
		s.jobs.Update(s.now(), schedule.LendMsg{
			Home:  home,
			Job:   task.Job,
			Owner: owner,
		})
	}
	run.ctx, run.listener = ctx, listener
	if run.result != nil {
		listener <- *run.result
	}
	s.mu.Unlock()
	if !known {
		task.ConfirmedAt = confirmedAt
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
	if isWithdrawn(ctx) {
		// The other host still needs to know when the run has ended.
		s.stopIfDetached(owner, listener)
		select {
		case cmd := <-listener:
			return cmd
		case <-time.After(lentResultRetention):
		}
	} else {
		time.AfterFunc(s.reattach, func() { s.stopIfDetached(owner, listener) })
	}
	return pool.EndCmd{
		Task:   task,
		End:    work.EndUnknown,
		Reason: core.ReasonCanceled,
	}
}

// accepts reports whether a home may lend a task to this host, given the run of that number,
// if there is one. The caller holds s.mu.
func (s *Shard) accepts(home string, task work.Task, run *lentRun) bool {
	if run != nil && run.result == nil {
		return run.home == home
	}
	return s.jobs.MayLend(s.now(), home, task.Job)
}

// rejectLent returns the end of a lent task that is not started here.
func rejectLent(task work.Task, retried bool) pool.EndCmd {
	cmd := pool.EndCmd{
		Task:   task,
		End:    work.EndNotStarted,
		Reason: core.ReasonCanceled,
	}
	if retried {
		cmd.End, cmd.Reason = work.EndUnknown, core.ReasonLink
	}
	return cmd
}

// stopIfDetached stops a lent run unless a later call has attached to it.
func (s *Shard) stopIfDetached(owner string, listener chan pool.EndCmd) {
	s.mu.Lock()
	run := s.lent[owner]
	detached := run != nil && run.listener == listener && run.result == nil
	s.mu.Unlock()
	if detached {
		s.update(pool.StopMsg{Owner: owner})
	}
}

// finishLent delivers the end of a lent run, and retains it for repeated calls.
func (s *Shard) finishLent(cmd pool.EndCmd) []effect {
	run := s.lent[cmd.Owner]
	if run == nil {
		return nil
	}
	run.result = &cmd
	listener := run.listener
	return []effect{func() {
		listener <- cmd
		time.AfterFunc(lentResultRetention, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.lent[cmd.Owner] == run {
				delete(s.lent, cmd.Owner)
			}
		})
	}}
}
