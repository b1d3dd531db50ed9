package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core/pool"
	"rosemarywalk/core/schedule"
	"rosemarywalk/io/peer"
)

// confirmInterval is how often the models are updated on which callers still wait.
const confirmInterval = 50 * time.Millisecond

// confirm updates the models on when the callers of jobs and of lent runs were last known
// to wait.
func (s *Shard) confirm() {
	s.mu.Lock()
	callers := make(map[string]context.Context, len(s.callers))
	for id, caller := range s.callers {
		callers[id] = caller.ctx
	}
	lent := make(map[string]context.Context, len(s.lent))
	for owner, run := range s.lent {
		if run.result == nil {
			lent[owner] = run.ctx
		}
	}
	s.mu.Unlock()
	// Asking may take system calls, so the lock is not held.
	var msgs []any
	var confirmations []schedule.Confirmation
	for id, ctx := range callers {
		if at, waiting := peer.Confirm(ctx); waiting && !at.IsZero() {
			confirmations = append(confirmations, schedule.Confirmation{
				Caller: id,
				At:     at,
			})
		}
	}
	if len(confirmations) > 0 {
		msgs = append(msgs, schedule.ConfirmMsg{Callers: confirmations})
	}
	for owner, ctx := range lent {
		if at, waiting := peer.Confirm(ctx); waiting && !at.IsZero() {
			msgs = append(msgs, pool.ConfirmMsg{
				Owner: owner,
				At:    at,
			})
		}
	}
	if len(msgs) > 0 {
		s.update(msgs...)
	}
}

// removeCaller removes a caller that no longer waits.
func (s *Shard) removeCaller(id string) {
	s.mu.Lock()
	delete(s.callers, id)
	s.mu.Unlock()
	s.update(schedule.CallerGoneMsg{Caller: id})
}

// isWithdrawn reports whether the context of a call has ended because the other host
// doesn't wait any more, as opposed to a link that broke.
func isWithdrawn(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), peer.ErrWithdrawn)
}
