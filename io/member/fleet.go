package member

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"rosemarywalk/core/home"
	"rosemarywalk/core/member"
	"rosemarywalk/core/place"
	"rosemarywalk/core/ticket"
	"rosemarywalk/io/beat"
	"rosemarywalk/io/platform"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Peers sends frames to other hosts.
type Peers interface {
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
	Send(ctx context.Context, address string, f wire.Frame) error
}

// Sizer takes this host's role for each service and its share of each quota.
type Sizer interface {
	SetRoles(role func(service string) place.FleetMsg)
	SetQuotas(quotas map[string]int)
	Demand() map[string]int
}

// Rows holds the configuration rows that travel between hosts.
type Rows interface {
	Print() int
	Have() []wire.Mark
	Newer(have []wire.Mark) []wire.Row
	Offer(rows []wire.Row)
	Quotas() map[string]int
	// Watch calls a function with new quotas, under the rows' lock.
	Watch(changed func(quotas map[string]int))
}

// Fleet is this host's view of all hosts.
type Fleet struct {
	period    time.Duration
	hosts     int // the most that run at once
	scope     home.Scope
	peers     Peers
	sizer     Sizer
	directory *platform.Directory
	rows      Rows
	counters  *telemetry.Counters
	log       logr.Logger
	now       func() time.Time

	mu         sync.Mutex
	model      *member.Model
	successors map[ticket.Incarnation]Successor
	recent     []ticket.Incarnation // keys of successors, oldest first
	pulling    map[string]bool
	demands    map[string]map[string]int // by peer address and team, as last reported
}

// Parts is what a Fleet works with.
type Parts struct {
	Model     *member.Model
	Period    time.Duration
	Hosts     int // the most that run at once
	Scope     home.Scope
	Peers     Peers
	Sizer     Sizer
	Directory *platform.Directory
	Rows      Rows
	Counters  *telemetry.Counters
	Log       logr.Logger
}

// New returns a view that knows only this host.
func New(p Parts) *Fleet {
	f := &Fleet{
		period:     p.Period,
		hosts:      p.Hosts,
		scope:      p.Scope,
		peers:      p.Peers,
		sizer:      p.Sizer,
		directory:  p.Directory,
		rows:       p.Rows,
		counters:   p.Counters,
		log:        p.Log.WithName("member"),
		now:        time.Now,
		model:      p.Model,
		successors: map[ticket.Incarnation]Successor{},
		pulling:    map[string]bool{},
		demands:    map[string]map[string]int{},
	}
	p.Rows.Watch(f.reshare)
	p.Sizer.SetRoles(f.role)
	return f
}

// Live returns the hosts that count as alive, this one included.
func (f *Fleet) Live() []member.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Live()
}

// Home returns the peer address of the host that queues for a service, and
// whether that is this host.
func (f *Fleet) Home(service string) (address string, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.model.Self()
	chosen := home.Choose(f.scope, service, self, f.model.Live())
	return chosen.Address, chosen.Address == self.Address
}

// role returns what this host is for a service. A home that stops keeps its
// part until its queue is empty; the parts are made for an old and a new home.
func (f *Fleet) role(service string) place.FleetMsg {
	f.mu.Lock()
	self, live := f.model.Self(), f.model.Live()
	f.mu.Unlock()
	for i := range live {
		if live[i].Address == self.Address {
			live[i].Stopping = false
		}
	}
	own := home.Choose(f.scope, service, self, live).Address == self.Address
	homes := home.Count(f.scope, live)
	queues := homes
	if !own {
		queues = len(live)
	}
	return place.FleetMsg{
		Queues: queues,
		Part:   home.ConnectionShare(f.scope, own, homes, f.hosts),
	}
}

// Successors returns the hosts that could take over this one's memory.
func (f *Fleet) Successors() []member.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Successors()
}

// Stop tells the fleet, with the next heartbeat, that this host stops.
func (f *Fleet) Stop() {
	f.mu.Lock()
	cmds := f.model.Update(f.now(), member.StopMsg{})
	f.mu.Unlock()
	f.run(cmds, wire.Beat{})
	f.tick()
}

// seed adds addresses to look for hosts at.
func (f *Fleet) seed(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seeds := make([]member.Host, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, member.Host{Address: a})
	}
	f.model.Update(f.now(), member.SeedMsg{Hosts: seeds})
}

// tick is one heartbeat period.
func (f *Fleet) tick() {
	quotas := f.rows.Quotas()
	demand := f.sizer.Demand()
	news := wire.Beat{
		Listing: f.directory.Revision(),
		Print:   f.rows.Print(),
	}
	f.mu.Lock()
	cmds := f.model.Update(f.now(), member.TickMsg{})
	// This host's own demand counts as it is reported, so that all hosts
	// divide by the same figures.
	f.forgetDemands()
	f.demands[f.model.Self().Address] = limitedTo(quotas, demand)
	beat := f.beat(news)
	shares := f.shares(quotas)
	f.mu.Unlock()
	f.sizer.SetQuotas(shares)
	f.run(cmds, beat)
}

// beat fills in a heartbeat; it runs under the lock.
func (f *Fleet) beat(beat wire.Beat) wire.Beat {
	self := f.model.Self()
	beat.Host = self.Incarnation
	beat.Address = self.Address
	beat.Domain = self.Domain
	beat.Count = self.HeartbeatCount
	beat.Stopping = self.Stopping
	beat.Demand = demandOf(f.demands[self.Address])
	for _, inc := range f.recent[max(0, len(f.recent)-successorsSent):] {
		beat.Successors = append(beat.Successors, wire.Successor{
			Host:    inc.String(),
			Address: f.successors[inc].Address,
			Turn:    f.successors[inc].Turn,
		})
	}
	return beat
}

func (f *Fleet) run(cmds []member.Cmd, news wire.Beat) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			own := news
			own.Known = beat.Known(cmd.Entries)
			go f.send(cmd.Address, own)
		case member.LiveHostsCmd:
			f.sizer.SetRoles(f.role)
			f.log.Info("fleet changed", "live", len(cmd.Hosts))
		}
	}
}

func (f *Fleet) send(address string, beat wire.Beat) {
	ctx, cancel := context.WithTimeout(context.Background(), f.period)
	defer cancel()
	f.counters.Messages("heartbeat", 1)
	if err := f.peers.Send(ctx, address, wire.Frame{Beat: &beat}); err != nil {
		f.log.V(1).Info("heartbeat not sent", "address", address, "error", err.Error())
	}
}

// ServeBeat takes a heartbeat from another host.
func (f *Fleet) ServeBeat(_ context.Context, frame wire.Frame) (wire.Frame, bool) {
	b := frame.Beat
	msg := beat.Msg(b)
	f.mu.Lock()
	cmds := f.model.Update(f.now(), msg)
	f.learnSuccessors(b.Successors)
	f.demands[b.Address] = demandBy(b.Demand)
	f.mu.Unlock()
	f.run(cmds, wire.Beat{})
	if b.Listing > f.directory.Revision() || b.Print != f.rows.Print() {
		go f.pull(b.Address)
	}
	return wire.Frame{}, false
}
