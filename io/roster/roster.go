package roster

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/owner"
	"rosemarywalk/io/beat"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/wire"
)

// Peers sends frames to other hosts.
type Peers interface {
	Send(ctx context.Context, address string, f wire.Frame) error
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
}

// News is what rides on this host's heartbeats.
type News struct {
	Held    []string // backend servers that it holds
	Queues  []wire.Queue
	Version int // configuration in force
}

// Roster is this host's view of all hosts.
type Roster struct {
	peers    Peers
	period   time.Duration
	perHome  int
	perCore  int
	counters *telemetry.Counters
	log      logr.Logger

	mu        sync.Mutex
	model     *member.Model
	live      []string // addresses, sorted
	claims    owner.Claims
	queues    map[string][]wire.Queue // by peer address
	known     known
	news      func() News
	onLive    []func()
	onVersion func(address string, version int)
}

// New returns a view that knows only this host.
func New(model *member.Model, peers Peers, period, stale time.Duration, perHome, perCore int, counters *telemetry.Counters, log logr.Logger) *Roster {
	return &Roster{
		peers:    peers,
		period:   period,
		perHome:  perHome,
		perCore:  perCore,
		counters: counters,
		log:      log.WithName("roster"),
		model:    model,
		claims:   owner.Claims{},
		queues:   map[string][]wire.Queue{},
		known: known{
			stale: stale,
			rows:  map[string]row{},
		},
		news:      func() News { return News{} },
		onVersion: func(string, int) {},
	}
}

// SetNews sets what rides on heartbeats.
func (r *Roster) SetNews(news func() News) { r.news = news }

// OnChange calls f when live hosts or their claims change.
func (r *Roster) OnChange(f func()) { r.onLive = append(r.onLive, f) }

// OnVersion calls f with the version of the configuration at each host that is heard.
func (r *Roster) OnVersion(f func(address string, version int)) { r.onVersion = f }

// Self returns this host's own entry.
func (r *Roster) Self() member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Self()
}

// Live returns the hosts that are heard, this one included.
func (r *Roster) Live() []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Live()
}

// View returns the hosts that are alive, to choose homes and owners.
func (r *Roster) View(servers []listing.Server) owner.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return owner.View{
		Hosts:   r.model.Live(),
		Known:   r.known.alive(),
		Servers: servers,
		PerHome: r.perHome,
		PerCore: r.perCore,
	}
}

// Claims returns which hosts hold which backend servers.
func (r *Roster) Claims() owner.Claims {
	r.mu.Lock()
	defer r.mu.Unlock()
	claims := owner.Claims{}
	for address, held := range r.claims {
		claims[address] = held
	}
	return claims
}

// Waiting returns how many jobs of a route wait at the other hosts.
func (r *Roster) Waiting(route string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, queues := range r.queues {
		for _, q := range queues {
			if q.Route == route {
				sum += q.Waiting
			}
		}
	}
	return sum
}

// Stop tells the hosts that this one stops.
func (r *Roster) Stop() {
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), member.StopMsg{})
	r.mu.Unlock()
	r.run(cmds, wire.Beat{})
	r.tick()
}

// SetKnown takes the hosts' rows in the store, and looks for hosts there.
func (r *Roster) SetKnown(hosts []listing.Host) {
	seeds := make([]member.Host, 0, len(hosts))
	for _, h := range hosts {
		seeds = append(seeds, member.Host{
			Address: h.Address,
			Domain:  h.Domain,
		})
	}
	r.mu.Lock()
	first := len(r.known.rows) == 0
	r.known.read(time.Now(), hosts)
	r.model.Update(time.Now(), member.SeedMsg{Hosts: seeds})
	r.mu.Unlock()
	if first {
		r.tick()
	}
}

// Listed reports whether the hosts' rows were read.
func (r *Roster) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.known.rows) > 0
}

// SetHomes says how many homes this host's failure domain needs; they must be
// heard by all of it.
func (r *Roster) SetHomes(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Update(time.Now(), member.LeastMsg{Relays: n})
}

// Lost says that nothing listens at a host's address.
func (r *Roster) Lost(address string) {
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), member.LostMsg{Address: address})
	r.mu.Unlock()
	r.run(cmds, wire.Beat{})
}

func (r *Roster) tick() {
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), member.TickMsg{})
	r.mu.Unlock()
	r.run(cmds, r.beat())
}

// beat returns a heartbeat of this host.
func (r *Roster) beat() wire.Beat {
	news, self := r.news(), r.Self()
	return wire.Beat{
		Host:     self.Incarnation,
		Address:  self.Address,
		Domain:   self.Domain,
		Count:    self.HeartbeatCount,
		Stopping: self.Stopping,
		Born:     int(self.Born),
		Cores:    self.CPU,
		Held:     news.Held,
		Queues:   news.Queues,
		Print:    news.Version,
	}
}

func (r *Roster) run(cmds []member.Cmd, news wire.Beat) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			own := news
			own.Known = beat.Known(cmd.Known)
			go r.send(cmd.Address, own)
		case member.LiveCmd:
			r.changed(cmd.Hosts)
		}
	}
}

func (r *Roster) changed(live []member.Host) {
	addresses := make([]string, 0, len(live))
	for _, h := range live {
		addresses = append(addresses, h.Address)
	}
	r.mu.Lock()
	joined, left := missing(addresses, r.live), missing(r.live, addresses)
	r.live = addresses
	for address := range r.claims {
		if !slices.Contains(addresses, address) {
			delete(r.claims, address)
			delete(r.queues, address)
		}
	}
	r.mu.Unlock()
	r.log.Info("hosts changed", "joined", joined, "left", left, "live", len(addresses))
	for _, f := range r.onLive {
		f()
	}
}

// missing returns what of some sorted addresses isn't among others.
func missing(some, others []string) []string {
	var found []string
	for _, a := range some {
		if _, ok := slices.BinarySearch(others, a); !ok {
			found = append(found, a)
		}
	}
	return found
}

func (r *Roster) send(address string, beat wire.Beat) {
	r.counters.Messages("heartbeat", 1)
	err := r.peers.Send(context.Background(), address, wire.Frame{Beat: &beat})
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.Lost(address)
	}
}

// ServeBeat takes a heartbeat from another host.
func (r *Roster) ServeBeat(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	b := f.Beat
	msg := beat.Msg(b)
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), msg)
	claimed := !slices.Equal(r.claims[b.Address], b.Held)
	r.claims[b.Address] = b.Held
	r.queues[b.Address] = b.Queues
	r.mu.Unlock()
	r.run(cmds, wire.Beat{})
	if len(cmds) > 0 {
		// A host that has just come hears of this one at once.
		go r.send(b.Address, r.beat())
	}
	if claimed && len(cmds) == 0 {
		for _, f := range r.onLive {
			f()
		}
	}
	r.onVersion(b.Address, b.Print)
	return wire.Frame{}, false
}
