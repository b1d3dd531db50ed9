package claim

import (
	"context"
	"time"

	"rosemarywalk/io/platform"
)

// Table is the part of the platform's interface that claims use.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Commit(ctx context.Context, writes []platform.Write) ([]platform.Result, error)
	Oldest(ctx context.Context, prefix string, limit int) (platform.Feed, error)
}

// commitResult is the outcome of one write.
type commitResult struct {
	result platform.Result
	err    error
}

// pendingWrite is a write that waits for the next commit.
type pendingWrite struct {
	write platform.Write
	done  chan commitResult
}

// batcher commits writes in groups, at most one group per commitInterval.
type batcher struct {
	table          Table
	commitInterval time.Duration
	maxGroup       int
	queue          chan pendingWrite
}

func newBatcher(table Table, commitInterval time.Duration, maxGroup int) *batcher {
	return &batcher{
		table:          table,
		commitInterval: commitInterval,
		maxGroup:       maxGroup,
		queue:          make(chan pendingWrite, maxGroup),
	}
}

// put queues a write and waits for its outcome. A full queue means that the table can't
// keep up, and is reported like a table that is down.
func (b *batcher) put(ctx context.Context, w platform.Write) commitResult {
	p := pendingWrite{
		write: w,
		done:  make(chan commitResult, 1),
	}
	select {
	case b.queue <- p:
	default:
		return commitResult{err: platform.ErrDown}
	}
	select {
	case v := <-p.done:
		return v
	case <-ctx.Done():
		return commitResult{err: platform.ErrUnknownOutcome}
	}
}

// loop commits until ctx ends. A host commits its groups sequentially, so a slow platform
// leads to larger groups rather than to more load.
func (b *batcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			start := time.Now()
			b.commit(ctx, b.collectGroup(first))
			sleep(ctx, b.commitInterval-time.Since(start))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// collectGroup returns the queued writes, up to maxGroup. The table applies the writes of a
// group individually and in order, so it also decides between two claims of one key.
func (b *batcher) collectGroup(first pendingWrite) []pendingWrite {
	group := []pendingWrite{first}
	for len(group) < b.maxGroup {
		select {
		case p := <-b.queue:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (b *batcher) commit(ctx context.Context, group []pendingWrite) {
	writes := make([]platform.Write, 0, len(group))
	for _, p := range group {
		writes = append(writes, p.write)
	}
	results, err := b.table.Commit(ctx, writes)
	for i, p := range group {
		v := commitResult{err: err}
		if err == nil {
			v.result = results[i]
		}
		p.done <- v
	}
}
