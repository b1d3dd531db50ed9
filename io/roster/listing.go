package roster

import (
	"time"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/work"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// updateToWire encodes an update as the frame that host self sends.
func updateToWire(self member.Host, n watch.Update) *wire.Listing {
	listed := &wire.Listing{
		Reader:   self.Incarnation,
		Host:     self.Address,
		Number:   n.Number,
		Position: int(n.Position),
		Failed:   int(n.SinceFailure.Milliseconds()),
		Whole:    n.Full,
		Gone:     n.RemovedServers,
		Left:     n.RemovedHosts,
	}
	for _, s := range n.Servers {
		listed.Servers = append(listed.Servers, wire.Server{
			Id:      s.ID,
			Service: s.Service,
			Address: s.Address,
			Domain:  s.Domain,
			Labels:  s.Labels,
			Room: wire.Size{
				Cpu:    s.Capacity.CPU,
				Memory: s.Capacity.Memory,
				Gpu:    s.Capacity.GPU,
			},
			Draining: s.Draining,
			Born:     int(s.StartedAtMillis),
			Cold:     coldToWire(s.Cold),
		})
	}
	for _, h := range n.Hosts {
		entry := wire.Entry{
			Name:    h.Name,
			Address: h.Address,
			Domain:  h.Domain,
			Count:   h.HeartbeatCount,
		}
		for _, w := range h.RouteWaits {
			longest := int(w.Longest.Milliseconds())
			entry.Waits = append(entry.Waits, wire.Wait{
				Route:   w.Route,
				Usual:   int(w.Typical.Milliseconds()),
				Longest: &longest,
				Falling: &w.Falling,
			})
		}
		listed.Hosts = append(listed.Hosts, entry)
	}
	return listed
}

// updateFromWire decodes an update that another host sent.
func updateFromWire(l *wire.Listing) watch.Update {
	n := watch.Update{
		Reader:         l.Reader,
		Number:         l.Number,
		Position:       int64(l.Position),
		SinceFailure:   time.Duration(l.Failed) * time.Millisecond,
		Full:           l.Whole,
		RemovedServers: l.Gone,
		RemovedHosts:   l.Left,
	}
	for _, s := range l.Servers {
		n.Servers = append(n.Servers, listing.Server{
			ID:      s.Id,
			Service: s.Service,
			Address: s.Address,
			Domain:  s.Domain,
			Labels:  s.Labels,
			Capacity: work.Size{
				CPU:    s.Room.Cpu,
				Memory: s.Room.Memory,
				GPU:    s.Room.Gpu,
			},
			Draining:        s.Draining,
			Cold:            s.Cold != nil && *s.Cold,
			StartedAtMillis: int64(s.Born),
		})
	}
	for _, e := range l.Hosts {
		host := listing.Host{
			Name:           e.Name,
			Address:        e.Address,
			Domain:         e.Domain,
			HeartbeatCount: e.Count,
		}
		for _, w := range e.Waits {
			host.RouteWaits = append(host.RouteWaits, listing.RouteWait{
				Route:   w.Route,
				Typical: time.Duration(w.Usual) * time.Millisecond,
				Longest: milliseconds(w.Longest),
				Falling: w.Falling != nil && *w.Falling,
			})
		}
		n.Hosts = append(n.Hosts, host)
	}
	return n
}

// coldToWire encodes an optional field, which most servers lack.
func coldToWire(cold bool) *bool {
	if !cold {
		return nil
	}
	return &cold
}

// milliseconds returns the duration in an optional field, 0 if it is missing.
func milliseconds(field *int) time.Duration {
	if field == nil {
		return 0
	}
	return time.Duration(*field) * time.Millisecond
}
