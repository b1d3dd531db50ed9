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

// Dispatcher receives this host's role for each service and its share of each quota, and
// reports the demand of each team.
type Dispatcher interface {
	SetRoles(role func(service string) place.SharingMsg)
	SetQuotas(quotas map[string]int)
	Demand() map[string]int
}

// Rows holds the configuration rows that hosts exchange.
type Rows interface {
	Print() int
	Versions() []wire.Mark
	Newer(have []wire.Mark) []wire.Row
	Merge(rows []wire.Row)
	Quotas() map[string]int
	// OnQuotaChange registers a function to be called with new quotas, with the lock of
	// the rows held.
	OnQuotaChange(onChange func(quotas map[string]int))
}

// Fleet is this host's view of all hosts.
type Fleet struct {
	period     time.Duration
	maxHosts   int // maximum that run at the same time
	scope      home.Scope
	peers      Peers
	dispatcher Dispatcher
	directory  *platform.Directory
	rows       Rows
	counters   *telemetry.Counters
	log        logr.Logger
	now        func() time.Time

	mu             sync.Mutex
	model          *member.Model
	successors     map[ticket.Incarnation]Successor
	successorOrder []ticket.Incarnation // keys of successors, oldest first
	activePulls    map[string]bool
	demands        map[string]map[string]int // by peer address and team, as last reported
}

// Options configures a Fleet.
type Options struct {
	Model      *member.Model
	Period     time.Duration
	MaxHosts   int // maximum that run at the same time
	Scope      home.Scope
	Peers      Peers
	Dispatcher Dispatcher
	Directory  *platform.Directory
	Rows       Rows
	Counters   *telemetry.Counters
	Log        logr.Logger
}

// New returns a Fleet that knows only this host.
func New(opts Options) *Fleet {
	f := &Fleet{
		period:      opts.Period,
		maxHosts:    opts.MaxHosts,
		scope:       opts.Scope,
		peers:       opts.Peers,
		dispatcher:  opts.Dispatcher,
		directory:   opts.Directory,
		rows:        opts.Rows,
		counters:    opts.Counters,
		log:         opts.Log.WithName("member"),
		now:         time.Now,
		model:       opts.Model,
		successors:  map[ticket.Incarnation]Successor{},
		activePulls: map[string]bool{},
		demands:     map[string]map[string]int{},
	}
	opts.Rows.OnQuotaChange(f.applyQuotas)
	opts.Dispatcher.SetRoles(f.role)
	return f
}

// Live returns the hosts considered alive, including this one.
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

// role returns this host's role for a service. A home that is stopping keeps its part
// until its queue is empty; parts are sized so that an old and a new home can coexist.
func (f *Fleet) role(service string) place.SharingMsg {
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
	return place.SharingMsg{
		Queues:          queues,
		ConnectionShare: home.ConnectionShare(f.scope, own, homes, f.maxHosts),
	}
}

// Successors returns the hosts that can take over the tickets of this one.
func (f *Fleet) Successors() []member.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Successors()
}

// Stop announces to the other hosts, with an immediate heartbeat, that this host is
// stopping.
func (f *Fleet) Stop() {
	f.mu.Lock()
	cmds := f.model.Update(f.now(), member.StopMsg{})
	f.mu.Unlock()
	f.runCommands(cmds, wire.Beat{})
	f.tick()
}

// seed adds addresses at which to discover other hosts.
func (f *Fleet) seed(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seeds := make([]member.Host, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, member.Host{Address: a})
	}
	f.model.Update(f.now(), member.SeedMsg{Hosts: seeds})
}

// tick runs once per heartbeat period.
func (f *Fleet) tick() {
	quotas := f.rows.Quotas()
	demand := f.dispatcher.Demand()
	partial := wire.Beat{
		Listing: f.directory.Revision(),
		Print:   f.rows.Print(),
	}
	f.mu.Lock()
	cmds := f.model.Update(f.now(), member.TickMsg{})
	// This host's own demand is recorded as it is reported to the others, so that all
	// hosts divide quotas by the same figures.
	f.pruneDemands()
	f.demands[f.model.Self().Address] = withQuota(quotas, demand)
	beat := f.fillBeat(partial)
	shares := f.quotaShares(quotas)
	f.mu.Unlock()
	f.dispatcher.SetQuotas(shares)
	f.runCommands(cmds, beat)
}

// fillBeat completes a heartbeat. The lock must be held.
func (f *Fleet) fillBeat(beat wire.Beat) wire.Beat {
	self := f.model.Self()
	beat.Host = self.Incarnation
	beat.Address = self.Address
	beat.Domain = self.Domain
	beat.Count = self.HeartbeatCount
	beat.Stopping = self.Stopping
	beat.Demand = encodeDemand(f.demands[self.Address])
	for _, inc := range f.successorOrder[max(0, len(f.successorOrder)-maxSuccessorsPerBeat):] {
		beat.Successors = append(beat.Successors, wire.Successor{
			Host:    inc.String(),
			Address: f.successors[inc].Address,
			Turn:    f.successors[inc].Generation,
		})
	}
	return beat
}

func (f *Fleet) runCommands(cmds []member.Cmd, base wire.Beat) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			msg := base
			msg.Known = beat.EncodeHosts(cmd.Entries)
			go f.send(cmd.Address, msg)
		case member.LiveHostsCmd:
			f.dispatcher.SetRoles(f.role)
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

// ServeBeat handles a heartbeat from another host.
func (f *Fleet) ServeBeat(_ context.Context, frame wire.Frame) (wire.Frame, bool) {
	b := frame.Beat
	msg := beat.DecodeHeartbeat(b)
	f.mu.Lock()
	cmds := f.model.Update(f.now(), msg)
	f.mergeSuccessors(b.Successors)
	f.demands[b.Address] = decodeDemand(b.Demand)
	f.mu.Unlock()
	f.runCommands(cmds, wire.Beat{})
	if b.Listing > f.directory.Revision() || b.Print != f.rows.Print() {
		go f.pull(b.Address)
	}
	return wire.Frame{}, false
}
