package claim

import (
	"context"
	"time"

	"rosemarywalk/io/platform"
)

// Table is the part of the platform that claims need.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Commit(ctx context.Context, writes []platform.Write) ([]platform.Result, error)
	Oldest(ctx context.Context, prefix string, limit int) (platform.Feed, error)
}

// verdict is what became of one write.
type verdict struct {
	result platform.Result
	err    error
}

// pending is one write that waits for the next commit.
type pending struct {
	write  platform.Write
	answer chan verdict
}

// batcher commits writes in groups, no more often than its interval.
type batcher struct {
	table    Table
	interval time.Duration
	most     int
	incoming chan pending
}

func newBatcher(table Table, interval time.Duration, most int) *batcher {
	return &batcher{
		table:    table,
		interval: interval,
		most:     most,
		incoming: make(chan pending, most),
	}
}

// put hands a write in and waits for its verdict; a full queue is a store
// that can't keep up, which is the same to the caller as one that is down.
func (b *batcher) put(ctx context.Context, w platform.Write) verdict {
	p := pending{
		write:  w,
		answer: make(chan verdict, 1),
	}
	select {
	case b.incoming <- p:
	default:
		return verdict{err: platform.ErrDown}
	}
	select {
	case v := <-p.answer:
		return v
	case <-ctx.Done():
		return verdict{err: platform.ErrUnclear}
	}
}

// loop commits until ctx ends. Commits run one after another at this host, so
// a slow platform makes the groups larger and not the load higher.
func (b *batcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.incoming:
			begin := time.Now()
			b.commit(ctx, b.gather(first))
			rest(ctx, b.interval-time.Since(begin))
		}
	}
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// gather takes everything that waits. The table applies the writes of a group
// in order, each on its own, so two claims of one key meet there.
func (b *batcher) gather(first pending) []pending {
	group := []pending{first}
	for len(group) < b.most {
		select {
		case p := <-b.incoming:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (b *batcher) commit(ctx context.Context, group []pending) {
	writes := make([]platform.Write, 0, len(group))
	for _, p := range group {
		writes = append(writes, p.write)
	}
	results, err := b.table.Commit(ctx, writes)
	for i, p := range group {
		v := verdict{err: err}
		if err == nil {
			v.result = results[i]
		}
		p.answer <- v
	}
}
