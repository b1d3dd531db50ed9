package dispatch

import (
	"sync"
	"time"

	"rosemarywalk/core/place"
)

// pool is one service's waiting tasks and backend servers, under one lock.
type pool struct {
	mu    sync.Mutex
	model *place.Model
}

func (p *pool) update(now time.Time, msg place.Msg) []place.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model.Update(now, msg)
}

// load is what a pool reports to metrics and peers.
type load struct {
	waiting     int
	outstanding int
	known       int
	usable      int
}

func (p *pool) load(now time.Time) load {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, usable := p.model.Servers(now)
	return load{
		waiting:     p.model.Waiting(),
		outstanding: p.model.Outstanding(),
		known:       known,
		usable:      usable,
	}
}

// demand adds what each team wants of this service.
func (p *pool) demand(sum map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for team, n := range p.model.Demand() {
		sum[team] += n
	}
}
