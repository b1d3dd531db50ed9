package dispatch

import (
	"sync"
	"time"

	"rosemarywalk/core/place"
)

// pool manages one service's queued tasks and backend servers, under one lock.
type pool struct {
	mu    sync.Mutex
	model *place.Model
}

func (p *pool) update(now time.Time, msg place.Msg) []place.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model.Update(now, msg)
}

// load is the load of a pool, for metrics and peers.
type load struct {
	waiting     int
	outstanding int
	servers     int
	usable      int
}

func (p *pool) load(now time.Time) load {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers, usable := p.model.Servers(now)
	return load{
		waiting:     p.model.Waiting(),
		outstanding: p.model.Outstanding(),
		servers:     servers,
		usable:      usable,
	}
}

// demand adds each team's demand for this service to sum.
func (p *pool) demand(sum map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for team, n := range p.model.Demand() {
		sum[team] += n
	}
}
