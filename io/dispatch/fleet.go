package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"rosemarywalk/core"
	"rosemarywalk/core/job"
	"rosemarywalk/core/place"
	"rosemarywalk/core/ticket"
)

// SetRoles says, by service, how many hosts queue for it and this host's part
// of the connections to its backend servers.
func (d *Dispatcher) SetRoles(role func(service string) place.FleetMsg) {
	d.mu.Lock()
	d.role = role
	d.mu.Unlock()
	for service, p := range d.allPools() {
		d.runPool(p, p.update(d.now(), role(service)))
	}
}

// Services returns the names of the services known, sorted.
func (d *Dispatcher) Services() []string { return slices.Sorted(maps.Keys(d.allPools())) }

// SetWeights sets the teams' weights.
func (d *Dispatcher) SetWeights(weights map[string]float64) {
	d.mu.Lock()
	d.weight = weights
	d.mu.Unlock()
	d.tell(place.WeightsMsg{Weights: weights})
}

// SetQuotas sets how many tasks of each team may be at this host.
func (d *Dispatcher) SetQuotas(quotas map[string]int) {
	d.mu.Lock()
	d.quotas = quotas
	d.mu.Unlock()
	d.tell(place.QuotaMsg{Quotas: quotas})
}

// Demand returns the tasks of each team that are here or were refused for its
// quota since the last call.
func (d *Dispatcher) Demand() map[string]int {
	sum := map[string]int{}
	for _, p := range d.allPools() {
		p.demand(sum)
	}
	return sum
}

// Drain refuses new jobs and waits for the running ones; after the limit it
// fails those that are left. It returns how many it failed.
func (d *Dispatcher) Drain(ctx context.Context) int {
	d.draining.Store(true)
	if d.idle(ctx) {
		return 0
	}
	cut := d.Running()
	for _, s := range d.shards {
		s.mu.Lock()
		cmds := s.model.Update(d.now(), job.StopMsg{Reason: core.ReasonDrainLimit})
		s.mu.Unlock()
		d.runJob(s, cmds)
	}
	return cut
}

// idleEvery is how often a drain looks whether jobs still run.
const idleEvery = 10 * time.Millisecond

// idle waits until no job runs; it returns false when ctx ends first.
func (d *Dispatcher) idle(ctx context.Context) bool {
	ticker := time.NewTicker(idleEvery)
	defer ticker.Stop()
	for d.Running() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// Running returns how many jobs aren't finished.
func (d *Dispatcher) Running() int {
	n := 0
	for _, s := range d.shards {
		s.mu.Lock()
		n += s.model.Running()
		s.mu.Unlock()
	}
	return n
}

// Snapshot is an incarnation that this host answers for.
type Snapshot struct {
	Incarnation ticket.Incarnation
	Ledger      *ticket.Ledger
	Held        []job.HandoverEntry
}

// Seal makes this host start nothing and answer for nothing more, and returns
// all that it answered for. It must be drained.
func (d *Dispatcher) Seal() []Snapshot {
	d.sealed.Store(true)
	var snapshots []Snapshot
	for _, inc := range d.incarnations() {
		snapshot := Snapshot{
			Incarnation: inc,
			Ledger:      ticket.NewLedger(),
		}
		for _, s := range d.shards {
			s.mu.Lock()
			l, h := s.model.Handover(inc)
			snapshot.Ledger.Merge(l)
			s.mu.Unlock()
			snapshot.Held = append(snapshot.Held, h...)
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

func (d *Dispatcher) incarnations() []ticket.Incarnation {
	s := d.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Incarnations()
}

// Adopt takes over a stopped incarnation's memory; repeating it is harmless.
func (d *Dispatcher) Adopt(inc ticket.Incarnation, ledger *ticket.Ledger, held []job.HandoverEntry) {
	byShard := map[*shard][]job.HandoverEntry{}
	for _, h := range held {
		s := d.shard(h.ID)
		byShard[s] = append(byShard[s], h)
	}
	for _, s := range d.shards {
		own := ticket.NewLedger()
		own.Merge(ledger)
		s.mu.Lock()
		s.model.Update(d.now(), job.AdoptMsg{
			Incarnation: inc,
			Ledger:      own,
			Outcomes:    byShard[s],
		})
		s.mu.Unlock()
	}
}

// Load is what a host reports of itself.
type Load struct {
	Waiting     int
	Outstanding int
	Servers     int
	Usable      int
	Running     int
	HeldBytes   int
	Adopted     int // stopped incarnations that this host answers for
}

// Load returns the sums over all services.
func (d *Dispatcher) Load() Load {
	sum := Load{Running: d.Running()}
	now := time.Now()
	for _, p := range d.allPools() {
		l := p.load(now)
		sum.Waiting += l.waiting
		sum.Outstanding += l.outstanding
		sum.Servers += l.known
		sum.Usable += l.usable
	}
	for _, s := range d.shards {
		s.mu.Lock()
		sum.HeldBytes += s.model.RetainedBytes()
		sum.Adopted = s.model.AdoptedCount()
		s.mu.Unlock()
	}
	return sum
}
