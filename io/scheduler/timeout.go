package scheduler

import (
	"context"
	"sync"
	"time"
)

// A timer that fires later than maxTimerDelay shows that this process got no processor time.
// The timeout is extended for that at most maxExtensions times.
const (
	maxTimerDelay = 5 * time.Millisecond
	maxExtensions = 3
)

// answerTimeout ends a call to a backend server whose answer is overdue. While this process gets
// no processor time, an answer may have arrived that nobody has read, so the timeout is extended
// by the delay of its timer or of other work of this host since it was set, at most by the limit.
type answerTimeout struct {
	limit      time.Duration // of each extension
	now        func() time.Time
	delaySince func(since time.Time) time.Duration // the longest delay of other work
	cancel     context.CancelCauseFunc

	mu         sync.Mutex
	timer      *time.Timer
	set, due   time.Time
	extensions int
}

// withAnswerTimeout returns a context that ends when an answer is overdue, and a function that
// releases its resources. A server that is asked to wait answers that much later.
func withAnswerTimeout(answer, wait time.Duration, now func() time.Time, delaySince func(time.Time) time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	t := &answerTimeout{
		limit:      answer,
		now:        now,
		delaySince: delaySince,
		cancel:     cancel,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = now().Add(answer + wait)
	t.set = t.due.Add(-answer)
	t.timer = time.AfterFunc(answer+wait, t.expire)
	return ctx, t.stop
}

func (t *answerTimeout) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	delay := max(now.Sub(t.due), t.delaySince(t.set))
	if delay <= maxTimerDelay || t.extensions >= maxExtensions {
		t.cancel(context.DeadlineExceeded)
		return
	}
	t.extensions++
	extension := min(delay, t.limit)
	t.set, t.due = now, now.Add(extension)
	t.timer.Reset(extension)
}

func (t *answerTimeout) stop() {
	t.cancel(context.Canceled)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extensions = maxExtensions
	t.timer.Stop()
}
