package dispatch

import (
	"maps"
	"math/rand/v2"

	"rosemarywalk/core/place"
)

// SetServers replaces the backend servers of every service.
func (d *Dispatcher) SetServers(services map[string][]place.Server) {
	d.mu.Lock()
	d.serversLoaded = true
	pools := maps.Clone(d.pools)
	for service := range services {
		if pools[service] == nil {
			pools[service] = d.newPool(service, uint64(len(pools)))
		}
	}
	d.pools = pools
	d.mu.Unlock()
	for service, p := range pools {
		d.runPool(p, p.update(d.now(), place.ServersMsg{Servers: services[service]}))
	}
}

// newPool returns a pool with the current settings. The caller holds d.mu.
func (d *Dispatcher) newPool(service string, number uint64) *pool {
	seed := d.config.Seed + number
	m := place.New(d.config.Policy, d.config.Limits, rand.New(rand.NewPCG(seed, seed)))
	m.Update(d.now(), d.fleetRole(service))
	m.Update(d.now(), place.WeightsMsg{Weights: d.teamWeights})
	m.Update(d.now(), place.QuotaMsg{Quotas: d.quotas})
	return &pool{model: m}
}

// broadcast passes a message to every pool.
func (d *Dispatcher) broadcast(msg place.Msg) {
	for _, p := range d.allPools() {
		d.runPool(p, p.update(d.now(), msg))
	}
}

// allPools returns the pools by service; the map is immutable.
func (d *Dispatcher) allPools() map[string]*pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.pools
}

// Tick advances time in every shard and pool.
func (d *Dispatcher) Tick() {
	for _, s := range d.shards {
		d.tickShard(s)
	}
	d.broadcast(place.TickMsg{})
}
