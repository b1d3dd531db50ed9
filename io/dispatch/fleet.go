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

// SetRoles sets, by service, how many hosts queue jobs for it and this host's share of
// the connections to its backend servers.
func (d *Dispatcher) SetRoles(fleetRole func(service string) place.FleetMsg) {
	d.mu.Lock()
	d.fleetRole = fleetRole
	d.mu.Unlock()
	for service, p := range d.allPools() {
		d.runPool(p, p.update(d.now(), fleetRole(service)))
	}
}

// Services returns the names of the known services, sorted.
func (d *Dispatcher) Services() []string { return slices.Sorted(maps.Keys(d.allPools())) }

// SetWeights sets the teams' weights.
func (d *Dispatcher) SetWeights(weights map[string]float64) {
	d.mu.Lock()
	d.teamWeights = weights
	d.mu.Unlock()
	d.broadcast(place.WeightsMsg{Weights: weights})
}

// SetQuotas sets the maximum number of tasks of each team at this host.
func (d *Dispatcher) SetQuotas(quotas map[string]int) {
	d.mu.Lock()
	d.quotas = quotas
	d.mu.Unlock()
	d.broadcast(place.QuotaMsg{Quotas: quotas})
}

// Demand returns the tasks of each team that are at this host, or were refused
// for its quota since the last call.
func (d *Dispatcher) Demand() map[string]int {
	sum := map[string]int{}
	for _, p := range d.allPools() {
		p.demand(sum)
	}
	return sum
}

// Drain refuses new jobs and waits for unfinished ones until ctx ends; it then fails
// those that are left and returns their number.
func (d *Dispatcher) Drain(ctx context.Context) int {
	d.draining.Store(true)
	if d.idle(ctx) {
		return 0
	}
	failed := d.Running()
	for _, s := range d.shards {
		s.mu.Lock()
		cmds := s.model.Update(d.now(), job.StopMsg{Reason: core.ReasonDrainLimit})
		s.mu.Unlock()
		d.runJob(s, cmds)
	}
	return failed
}

// idlePollInterval is how often a drain checks for unfinished jobs.
const idlePollInterval = 10 * time.Millisecond

// idle waits until all jobs have finished; it returns false if ctx ends first.
func (d *Dispatcher) idle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePollInterval)
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

// Running returns the number of unfinished jobs.
func (d *Dispatcher) Running() int {
	n := 0
	for _, s := range d.shards {
		s.mu.Lock()
		n += s.model.Running()
		s.mu.Unlock()
	}
	return n
}

// Snapshot is the state of an incarnation that this host is responsible for.
type Snapshot struct {
	Incarnation ticket.Incarnation
	Ledger      *ticket.Ledger
	Held        []job.HandoverEntry
}

// Seal makes this host stop starting and answering jobs, and returns the state of all
// incarnations that it was responsible for. The host must be drained.
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

// Adopt takes over the state of a stopped incarnation; it is idempotent.
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

// Load is the load that a host reports.
type Load struct {
	Waiting     int
	Outstanding int
	Servers     int
	Usable      int
	Running     int
	HeldBytes   int
	Adopted     int // stopped incarnations that this host is responsible for
}

// Load returns the totals over all services.
func (d *Dispatcher) Load() Load {
	sum := Load{Running: d.Running()}
	now := time.Now()
	for _, p := range d.allPools() {
		l := p.load(now)
		sum.Waiting += l.waiting
		sum.Outstanding += l.outstanding
		sum.Servers += l.servers
		sum.Usable += l.usable
	}
	for _, s := range d.shards {
		s.mu.Lock()
		sum.HeldBytes += s.model.HeldBytes()
		sum.Adopted = s.model.Adopted()
		s.mu.Unlock()
	}
	return sum
}
