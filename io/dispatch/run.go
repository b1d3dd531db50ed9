package dispatch

import (
	"context"
	"fmt"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/core/place"
	"rosemarywalk/core/queue"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/executor"
)

// updateJob gives a message to a job's shard and carries out what follows.
func (d *Dispatcher) updateJob(id ticket.ID, msg job.Msg) {
	s := d.shard(id)
	s.mu.Lock()
	cmds := s.model.Update(d.now(), msg)
	s.mu.Unlock()
	d.runJob(s, cmds)
}

func (d *Dispatcher) tickShard(s *shard) {
	s.mu.Lock()
	cmds := s.model.Update(d.now(), job.TickMsg{})
	s.mu.Unlock()
	d.runJob(s, cmds)
}

func (d *Dispatcher) runJob(s *shard, cmds []job.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case job.RevokeCmd:
			d.revoke(s, cmd)
		case job.FinishCmd:
			d.finish(s, cmd)
		case job.EnqueueCmd, job.JoinCmd, job.ReplyCmd, job.SendCmd, job.DropCmd:
		}
	}
}

func (d *Dispatcher) revoke(s *shard, cmd job.RevokeCmd) {
	s.mu.Lock()
	w := s.work[cmd.ID]
	var aborts []context.CancelFunc
	for _, index := range cmd.Sent {
		if abort := w.aborts[index]; abort != nil {
			aborts = append(aborts, abort)
		}
	}
	s.mu.Unlock()
	if p := d.pool(w.submission.Service); p != nil {
		d.runPool(p, p.update(d.now(), place.RevokeMsg{ID: cmd.ID}))
	}
	for _, abort := range aborts {
		abort()
	}
}

func (d *Dispatcher) finish(s *shard, cmd job.FinishCmd) {
	d.note(cmd.ID, stepFinished, wholeJob, "", cmd.Outcome.Reason)
	s.mu.Lock()
	w := s.finish(cmd.ID, cmd.Outcome)
	s.mu.Unlock()
	if w == nil {
		return
	}
	d.bytes.Add(-int64(w.bytes))
	state := "complete"
	if !cmd.Outcome.Complete {
		state = "failed"
		d.counters.Failed(cmd.Outcome.Reason)
	}
	d.counters.Finished(state)
	close(w.done)
}

func (d *Dispatcher) note(id ticket.ID, step string, index int, server string, reason core.Reason) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.work[id]; w != nil {
		w.trace.add(Event{
			At:     d.now(),
			Step:   step,
			Task:   index,
			Server: server,
			Reason: reason,
		})
	}
}

func (d *Dispatcher) runPool(p *pool, cmds []place.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case place.AcceptCmd:
			d.note(cmd.ID, stepAccepted, wholeJob, "", "")
		case place.RefuseCmd:
			d.refuse(cmd.ID, cmd.Reason, cmd.RetryAfter)
		case place.StartCmd:
			d.start(p, cmd)
		case place.RetryCmd:
			d.counters.Retried(cmd.Reason)
			d.note(cmd.Ref.ID, stepRetried, cmd.Ref.Index, "", cmd.Reason)
		case place.FailCmd:
			d.note(cmd.Ref.ID, stepFailed, cmd.Ref.Index, "", cmd.Reason)
			d.updateJob(cmd.Ref.ID, job.FailMsg{
				ID:     cmd.Ref.ID,
				Index:  cmd.Ref.Index,
				Ran:    cmd.Ran,
				Reason: cmd.Reason,
			})
		case place.EjectCmd:
			d.log.Info("backend server ejected", "server", cmd.Server, "reason", cmd.Reason)
		}
	}
}

// start asks the job's shard for permission, then sends.
func (d *Dispatcher) start(p *pool, cmd place.StartCmd) {
	s := d.shard(cmd.Ref.ID)
	s.mu.Lock()
	answers := s.model.Update(d.now(), job.StartMsg{
		ID:     cmd.Ref.ID,
		Index:  cmd.Ref.Index,
		Server: cmd.Server,
	})
	w := s.work[cmd.Ref.ID]
	if _, ok := answers[0].(job.SendCmd); !ok || w == nil {
		s.mu.Unlock()
		d.settle(p, cmd, place.DoneMsg{Result: place.Dropped})
		return
	}
	ctx, abort := context.WithCancel(context.Background())
	w.aborts[cmd.Ref.Index] = abort
	task := taskOf(w.submission, cmd)
	s.mu.Unlock()
	d.note(cmd.Ref.ID, stepSent, cmd.Ref.Index, cmd.Server, "")
	d.counters.Started()
	go d.send(ctx, abort, p, cmd, task, w.submission.Idempotent)
}

func taskOf(sub Submission, cmd place.StartCmd) executor.Task {
	return executor.Task{
		Address: cmd.Address,
		Service: sub.Service,
		Name:    taskName(cmd.Ref),
		Type:    sub.Type,
		Body:    sub.Bodies[cmd.Ref.Index],
		Raw:     sub.Raw,
	}
}

func taskName(ref queue.Ref) string {
	return fmt.Sprintf("%s-%d-%d", ref.ID.Incarnation, ref.ID.Sequence, ref.Index)
}

func (d *Dispatcher) send(ctx context.Context, abort context.CancelFunc, p *pool, cmd place.StartCmd, t executor.Task, idempotent bool) {
	defer abort()
	begin := d.now()
	reply := d.sender.Send(ctx, t)
	took := d.now().Sub(begin)
	d.report(cmd.Ref, reply, idempotent)
	d.settle(p, cmd, place.DoneMsg{
		Result: reply.Result,
		Reason: reply.Reason,
		Again:  idempotent,
		Took:   took,
	})
}

// report tells the job first: the pool may start the task again at once, and
// the job must know by then that the first send did not count.
func (d *Dispatcher) report(ref queue.Ref, reply executor.Reply, idempotent bool) {
	switch reply.Result {
	case place.Answered, place.Errored:
		d.note(ref.ID, stepAnswered, ref.Index, "", reply.Reason)
		d.updateJob(ref.ID, job.AnswerMsg{
			ID:     ref.ID,
			Index:  ref.Index,
			Answer: reply.Answer,
		})
	case place.Refused, place.Unreached:
		d.updateJob(ref.ID, job.ReturnMsg{
			ID:    ref.ID,
			Index: ref.Index,
		})
	case place.Interrupted, place.Failed:
		if idempotent {
			d.updateJob(ref.ID, job.AgainMsg{
				ID:    ref.ID,
				Index: ref.Index,
			})
		}
	case place.Aborted, place.Dropped:
	}
}

func (d *Dispatcher) settle(p *pool, cmd place.StartCmd, done place.DoneMsg) {
	done.Ref = cmd.Ref
	done.Server = cmd.Server
	d.runPool(p, p.update(d.now(), done))
}
