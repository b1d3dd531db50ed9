package peer

import (
	"context"
	"sync"
	"time"

	"rosemarywalk/core/confirm"
	"rosemarywalk/io/wire"
)

// probeInterval is how often a host asks which of the calls that it serves are still open.
const probeInterval = 100 * time.Millisecond

// maxAge stands for a caller that was never confirmed.
const maxAge = time.Hour

// withdrawnAge is the age of a call that the other host doesn't wait for any more.
const withdrawnAge = -1

// prober tracks the callers of the calls that are served on one link.
type prober struct {
	link    *link
	answers bool // the other host answers probes
	opened  time.Time
	wake    chan struct{} // probes at once

	mu     sync.Mutex
	calls  *confirm.Table
	served map[int]*servedCall
}

// servedCall is a call that this host serves.
type servedCall struct {
	cancel    context.CancelCauseFunc
	confirmed chan struct{} // closed once its caller is known to wait
	once      sync.Once     // closes confirmed
	sentAt    time.Time     // when it was sent, or earlier
}

func (c *servedCall) confirm() { c.once.Do(func() { close(c.confirmed) }) }

func newProber(l *link, answers bool) *prober {
	return &prober{
		link:    l,
		answers: answers,
		opened:  l.now(),
		wake:    make(chan struct{}, 1),
		calls:   confirm.New(),
		served:  map[int]*servedCall{},
	}
}

// begin adds a call. It returns the context to serve it with, a channel that is closed once
// its caller is known to wait, and a function that ends the call.
func (p *prober) begin(ctx context.Context, f wire.Frame) (served context.Context, confirmed <-chan struct{}, end func()) {
	served, cancel := context.WithCancelCause(ctx)
	call := &servedCall{
		cancel:    cancel,
		confirmed: make(chan struct{}),
	}
	var at time.Time
	if f.Fresh != nil {
		at = confirm.Since(p.opened.Add(microseconds(f.Fresh.Stamp)), microseconds(f.Fresh.Since))
	}
	call.sentAt = p.opened
	if !at.IsZero() {
		call.sentAt = at
	}
	p.mu.Lock()
	p.calls.Add(f.Id, at)
	p.served[f.Id] = call
	first := p.calls.Len() == 1
	p.mu.Unlock()
	recent := p.link.now().Sub(at) < probeInterval
	if recent {
		call.confirm()
	}
	if first || !recent {
		p.wakeUp()
	}
	waiting := served
	sent := func() time.Time {
		p.mu.Lock()
		defer p.mu.Unlock()
		return call.sentAt
	}
	served = WithConfirmation(withSent(served, sent), func() (time.Time, bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.calls.At(f.Id), waiting.Err() == nil
	})
	return served, call.confirmed, func() {
		p.mu.Lock()
		p.calls.Remove(f.Id)
		delete(p.served, f.Id)
		p.mu.Unlock()
		cancel(nil)
	}
}

func (p *prober) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run sends probes while calls are open, until the link closes.
func (p *prober) run() {
	timer := time.NewTimer(probeInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.link.done:
			return
		case <-p.wake:
		case <-timer.C:
		}
		now := p.link.now()
		p.mu.Lock()
		open, due := p.calls.Len(), p.calls.Due(now.Add(-probeInterval/2))
		p.mu.Unlock()
		switch {
		case len(due) == 0:
		case p.answers:
			_ = p.link.write(wire.Frame{Probe: &wire.Probe{
				Stamp: int(now.Sub(p.opened).Microseconds()),
				Calls: due,
			}})
		default:
			go p.ping(now, due)
		}
		if open > 0 {
			timer.Reset(probeInterval)
		}
	}
}

// ping confirms calls of a host of an earlier version, which answers no probes. An answered
// ping shows that it ran and could have withdrawn them.
func (p *prober) ping(now time.Time, calls []int) {
	if !p.link.ping() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range calls {
		if call := p.served[id]; call != nil {
			p.calls.Confirm(id, now, 0)
			call.confirm()
		}
	}
}

// apply records the answer to a probe, and cancels the calls that were withdrawn.
func (p *prober) apply(answer *wire.Probed) {
	sent := p.opened.Add(microseconds(answer.Stamp))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, id := range answer.Calls {
		call := p.served[id]
		switch {
		case call == nil || i >= len(answer.Ages):
		case answer.Ages[i] == withdrawnAge:
			call.cancel(ErrWithdrawn)
		default:
			p.calls.Confirm(id, sent, microseconds(answer.Ages[i]))
			if i < len(answer.Held) {
				call.sentAt = later(call.sentAt, confirm.Before(sent, microseconds(answer.Held[i])))
			}
			call.confirm()
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// answerProbe reports which of its served calls are still waited for.
func (l *link) answerProbe(probe *wire.Probe) {
	answer := &wire.Probed{
		Stamp: probe.Stamp,
		Calls: probe.Calls,
		Ages:  make([]int, 0, len(probe.Calls)),
		Held:  make([]int, 0, len(probe.Calls)),
	}
	for _, call := range probe.Calls {
		answer.Ages = append(answer.Ages, l.callerAge(call))
		answer.Held = append(answer.Held, l.callAge(call))
	}
	_ = l.write(wire.Frame{Probed: answer})
}

// callerAge returns the time in microseconds since the caller of an open call was last
// known to wait, or withdrawnAge.
func (l *link) callerAge(call int) int {
	l.mu.Lock()
	pending, open := l.pending[call]
	l.mu.Unlock()
	if !open {
		return withdrawnAge
	}
	at, waiting := Confirm(pending.ctx)
	if !waiting {
		return withdrawnAge
	}
	return int(min(max(0, l.now().Sub(at)), maxAge).Microseconds()) + 1
}

// callAge returns the time in microseconds since a call was made.
func (l *link) callAge(call int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(min(max(0, l.now().Sub(l.pending[call].madeAt)), maxAge).Microseconds()) + 1
}

// recordProbe notes the receipt of a probe, by which later calls are dated.
func (l *link) recordProbe(probe *wire.Probe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probeStamp, l.probedAt = probe.Stamp, l.now()
}

// fresh dates a call by the last probe that was received. It returns nil without one, or if
// it is unknown when the caller waited.
func (l *link) fresh(ctx context.Context) *wire.Fresh {
	at, _ := Confirm(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probedAt.IsZero() || at.IsZero() {
		return nil
	}
	return &wire.Fresh{
		Stamp: l.probeStamp,
		Since: int(at.Sub(l.probedAt).Microseconds()),
	}
}

func microseconds(n int) time.Duration { return time.Duration(n) * time.Microsecond }
