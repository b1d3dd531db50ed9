package roster

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"rosemarywalk/core/evacuation"
	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/owner"
	"rosemarywalk/io/beat"
	"rosemarywalk/io/telemetry"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// Peers sends frames to other hosts.
type Peers interface {
	Send(ctx context.Context, address string, f wire.Frame) error
	Call(ctx context.Context, address string, f wire.Frame) (wire.Frame, error)
	// Reachable reports that the host at an address has just been heard from.
	Reachable(address string)
}

// HeartbeatPayload is the part of this host's heartbeats that other packages provide.
type HeartbeatPayload struct {
	Held    []string // IDs of the backend servers that this host holds
	Queues  []wire.Queue
	Version int // of the current configuration
}

// Roster is this host's view of all hosts.
type Roster struct {
	peers             Peers
	period            time.Duration
	maxServersPerHome int
	maxServersPerCore int
	targetPerCore     int // backend servers
	counters          *telemetry.Counters
	log               logr.Logger

	mu        sync.Mutex
	model     *member.Model
	live      []string // addresses of live hosts, sorted
	claims    owner.Claims
	queues    map[string][]wire.Queue // by peer address
	rows      hostRows
	payload   func() HeartbeatPayload
	onChange  []func()
	onVersion func(address string, version int)

	evacuated   func() evacuation.Domains
	onEvacuated func(d evacuation.Domains, address string)
}

// New returns a roster that contains only this host.
func New(model *member.Model, peers Peers, period, staleAfter time.Duration, maxServersPerHome, maxServersPerCore, targetPerCore int, counters *telemetry.Counters, log logr.Logger) *Roster {
	return &Roster{
		peers:             peers,
		period:            period,
		maxServersPerHome: maxServersPerHome,
		maxServersPerCore: maxServersPerCore,
		targetPerCore:     targetPerCore,
		counters:          counters,
		log:               log.WithName("roster"),
		model:             model,
		claims:            owner.Claims{},
		queues:            map[string][]wire.Queue{},
		rows:              newHostRows(staleAfter, staleAfter),
		payload:           func() HeartbeatPayload { return HeartbeatPayload{} },
		onVersion:         func(string, int) {},

		evacuated:   func() evacuation.Domains { return evacuation.Domains{} },
		onEvacuated: func(evacuation.Domains, string) {},
	}
}

// SetMaxReadAge sets how long ago this host may have read the hosts' rows to vote. It must be the
// same on all hosts, and called before the first read.
func (r *Roster) SetMaxReadAge(age time.Duration) {
	r.rows = newHostRows(r.rows.staleAfter, age)
}

// SetHeartbeatPayload sets the function that returns the payload of each heartbeat.
func (r *Roster) SetHeartbeatPayload(payload func() HeartbeatPayload) { r.payload = payload }

// OnChange calls f when the live hosts change, or the backend servers that they hold.
func (r *Roster) OnChange(f func()) { r.onChange = append(r.onChange, f) }

// OnVersion calls f with the configuration version in each heartbeat that arrives.
func (r *Roster) OnVersion(f func(address string, version int)) { r.onVersion = f }

// SetEvacuated sets the function that returns the evacuated failure domains for each heartbeat.
func (r *Roster) SetEvacuated(f func() evacuation.Domains) { r.evacuated = f }

// OnEvacuated calls f with the evacuated failure domains in a heartbeat that arrives from an
// address.
func (r *Roster) OnEvacuated(f func(d evacuation.Domains, address string)) { r.onEvacuated = f }

// Self returns this host's own entry.
func (r *Roster) Self() member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Self()
}

// Live returns the hosts that heartbeats show to be live, including this one.
func (r *Roster) Live() []member.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Live()
}

// domainRank returns this host's rank by fitness among the live hosts of its failure domain that
// are not stopping, and their number. A host that is stopping has rank 0.
func (r *Roster) domainRank() (rank, hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.DomainRank()
}

// View returns the live hosts and the given servers, to choose homes and owners.
func (r *Roster) View(servers []listing.Server) owner.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return owner.View{
		Hosts:             r.model.Live(),
		Listed:            r.rows.alive(),
		Servers:           servers,
		MaxServersPerHome: r.maxServersPerHome,
		MaxServersPerCore: r.maxServersPerCore,
		TargetPerCore:     r.targetPerCore,
		Electorate:        r.rows.electorate(),
		Current:           r.rows.current(),
		Unlisted:          r.rows.isUnlisted(time.Now(), r.model.Self().Address),
	}
}

// Claims returns the backend servers that each host holds, by host address.
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

// Stop announces to the other hosts that this one is stopping.
func (r *Roster) Stop() {
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), member.StopMsg{})
	r.mu.Unlock()
	r.run(cmds, wire.Beat{})
	r.tick()
}

// SetListedHosts updates the hosts' rows from the store, and uses their addresses as
// seeds to contact. The first rows cause a heartbeat at once, and so does the first list
// with this host's own row.
func (r *Roster) SetListedHosts(hosts []listing.Host) { r.setHostsRead(time.Now(), hosts) }

// setHostsRead is SetListedHosts for rows that were read at a time, by this host or another one.
// It ignores rows that are older than those known.
func (r *Roster) setHostsRead(readAt time.Time, hosts []listing.Host) {
	seeds := make([]member.Host, 0, len(hosts))
	for _, h := range hosts {
		seeds = append(seeds, member.Host{
			Address: h.Address,
			Domain:  h.Domain,
		})
	}
	r.mu.Lock()
	if readAt.Before(r.rows.readAt) {
		r.mu.Unlock()
		return
	}
	self := r.model.Self().Address
	first := len(r.rows.byName) == 0 || !r.rows.contains(self)
	r.rows.update(readAt, hosts)
	r.model.Update(time.Now(), member.SeedMsg{Hosts: seeds})
	r.mu.Unlock()
	if first {
		r.tick()
	}
}

// removeAbandoned removes the rows of hosts that are gone for good from the store, a limited
// number in each call. A host whose own row isn't current removes none.
func (r *Roster) removeAbandoned(ctx context.Context, remove func(context.Context, listing.Host) error) {
	for _, h := range r.abandoned() {
		err := remove(ctx, h)
		switch {
		case errors.Is(err, watch.ErrRowChanged):
		case err != nil:
			r.log.V(1).Info("cannot remove host row from store", "name", h.Name, "error", err.Error())
			return
		default:
			r.log.Info("host row removed", "name", h.Name, "address", h.Address)
		}
	}
}

// maxRemovals limits the rows that a host removes in one period of reads.
const maxRemovals = 20

func (r *Roster) abandoned() []listing.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.model.Self()
	if self.Stopping || r.rows.isUnlisted(time.Now(), self.Address) {
		return nil
	}
	heard := map[string]bool{}
	for _, h := range r.model.Live() {
		heard[h.Address] = true
	}
	rank, _ := r.model.DomainRank()
	hosts := r.rows.abandoned(rank, func(address string) bool { return heard[address] })
	return hosts[:min(maxRemovals, len(hosts))]
}

// IsListed reports whether this host's own row was read from the store. Of two hosts that
// start together, the one that writes its row later then knows the row of the other.
func (r *Roster) IsListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows.contains(r.model.Self().Address)
}

// SetMinHomes sets the number of homes that this host's failure domain needs. At least as
// many hosts become relays, because all hosts must receive the heartbeats of homes.
func (r *Roster) SetMinHomes(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Update(time.Now(), member.MinRelaysMsg{Relays: n})
}

// MarkNotListening records that nothing listens at a host's address.
func (r *Roster) MarkNotListening(address string) {
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), member.NotListeningMsg{Address: address})
	r.mu.Unlock()
	r.run(cmds, wire.Beat{})
}

func (r *Roster) tick() {
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), member.TickMsg{})
	r.mu.Unlock()
	r.run(cmds, r.heartbeat())
}

// heartbeat builds a heartbeat of this host; run adds the entries about other hosts.
func (r *Roster) heartbeat() wire.Beat {
	payload, evacuated := r.payload(), evacuatedToWire(r.evacuated())
	r.mu.Lock()
	self, home := r.model.Self(), r.model.FirstHome()
	r.mu.Unlock()
	return wire.Beat{
		Host:     self.Incarnation,
		Address:  self.Address,
		Domain:   self.Domain,
		Count:    self.HeartbeatCount,
		Stopping: self.Stopping,
		Born:     int(self.StartedAtMillis),
		Cores:    self.CPU,
		Home:     &home,
		Held:     payload.Held,
		Queues:   payload.Queues,
		Print:    payload.Version,

		Evacuated: evacuated,
	}
}

func (r *Roster) run(cmds []member.Cmd, heartbeat wire.Beat) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			message := heartbeat
			message.Known = beat.EncodeHosts(cmd.Entries)
			go r.send(cmd.Address, message)
		case member.LiveHostsCmd:
			r.setLive(cmd.Hosts)
		}
	}
}

func (r *Roster) setLive(live []member.Host) {
	addresses := make([]string, 0, len(live))
	for _, h := range live {
		addresses = append(addresses, h.Address)
	}
	r.mu.Lock()
	joined, left := difference(addresses, r.live), difference(r.live, addresses)
	r.live = addresses
	for address := range r.claims {
		if !slices.Contains(addresses, address) {
			delete(r.claims, address)
			delete(r.queues, address)
		}
	}
	r.mu.Unlock()
	r.log.Info("hosts changed", "joined", joined, "left", left, "live", len(addresses))
	for _, f := range r.onChange {
		f()
	}
}

// difference returns the elements of some that are not in others, which is sorted.
func difference(some, others []string) []string {
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
		r.MarkNotListening(address)
	}
}

// ServeBeat handles a heartbeat from another host.
func (r *Roster) ServeBeat(_ context.Context, f wire.Frame) (wire.Frame, bool) {
	b := f.Beat
	msg := beat.DecodeHeartbeat(b)
	r.mu.Lock()
	cmds := r.model.Update(time.Now(), msg)
	claimsChanged := !slices.Equal(r.claims[b.Address], b.Held)
	r.claims[b.Address] = b.Held
	r.queues[b.Address] = b.Queues
	r.mu.Unlock()
	r.run(cmds, wire.Beat{})
	if len(cmds) > 0 {
		// A host that has just joined learns of this one without waiting for the next
		// tick, nor for a connection that was tried before it was up.
		r.peers.Reachable(b.Address)
		go r.send(b.Address, r.heartbeat())
	}
	if claimsChanged && len(cmds) == 0 {
		for _, f := range r.onChange {
			f()
		}
	}
	r.serveEvacuated(b)
	r.onVersion(b.Address, b.Print)
	return wire.Frame{}, false
}
