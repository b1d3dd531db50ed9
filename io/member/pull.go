package member

import (
	"context"
	"time"

	"rosemarywalk/io/wire"
)

// pull fetches newer configuration rows and a newer host list from a peer. At most one
// pull per peer runs at a time.
func (f *Fleet) pull(address string) {
	f.mu.Lock()
	running := f.activePulls[address]
	f.activePulls[address] = true
	f.mu.Unlock()
	if running {
		return
	}
	defer func() {
		f.mu.Lock()
		delete(f.activePulls, address)
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	f.counters.Messages("pull", 1)
	answer, err := f.peers.Call(ctx, address, wire.Frame{Pull: &wire.Pull{
		Have:    f.rows.Versions(),
		Listing: f.directory.Revision(),
	}})
	if err != nil || answer.Rows == nil {
		return
	}
	if len(answer.Rows.Listing) > 0 {
		if err := f.directory.UpdateJSON(answer.Rows.Listing); err != nil {
			f.log.Error(err, "invalid host list from a peer", "address", address)
		}
	}
	f.rows.Merge(answer.Rows.Rows)
}

const pullTimeout = 5 * time.Second

// ServePull returns the rows and the host list that are newer than the peer's own.
func (f *Fleet) ServePull(_ context.Context, frame wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Rows: &wire.Rows{
		Rows:    f.rows.Newer(frame.Pull.Have),
		Listing: f.directory.NewerJSON(frame.Pull.Listing),
	}}, true
}
