package member

import (
	"context"
	"time"

	"rosemarywalk/io/wire"
)

// pull fetches what a peer has newer; one pull a peer runs at a time.
func (f *Fleet) pull(address string) {
	f.mu.Lock()
	busy := f.pulling[address]
	f.pulling[address] = true
	f.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		f.mu.Lock()
		delete(f.pulling, address)
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	f.counters.Messages("pull", 1)
	answer, err := f.peers.Call(ctx, address, wire.Frame{Pull: &wire.Pull{
		Have:    f.rows.Have(),
		Listing: f.directory.Revision(),
	}})
	if err != nil || answer.Rows == nil {
		return
	}
	if len(answer.Rows.Listing) > 0 {
		if err := f.directory.UpdateJSON(answer.Rows.Listing); err != nil {
			f.log.Error(err, "host list from a peer", "address", address)
		}
	}
	f.rows.Offer(answer.Rows.Rows)
}

const pullTimeout = 5 * time.Second

// ServePull answers a peer that has older rows or an older host list.
func (f *Fleet) ServePull(_ context.Context, frame wire.Frame) (wire.Frame, bool) {
	return wire.Frame{Rows: &wire.Rows{
		Rows:    f.rows.Newer(frame.Pull.Have),
		Listing: f.directory.NewerJSON(frame.Pull.Listing),
	}}, true
}
