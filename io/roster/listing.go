package roster

import (
	"time"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/core/work"
	"rosemarywalk/io/watch"
	"rosemarywalk/io/wire"
)

// listingOf returns news as a host sends them.
func listingOf(self member.Host, n watch.News) *wire.Listing {
	listed := &wire.Listing{
		Reader:   self.Incarnation,
		Host:     self.Address,
		Number:   n.Number,
		Position: int(n.Position),
		Failed:   int(n.Failed.Milliseconds()),
		Whole:    n.Whole,
		Gone:     n.Gone,
		Left:     n.Left,
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
			Born:     int(s.Born),
		})
	}
	for _, h := range n.Hosts {
		entry := wire.Entry{
			Name:    h.Name,
			Address: h.Address,
			Domain:  h.Domain,
			Count:   h.HeartbeatCount,
		}
		for _, w := range h.Waits {
			entry.Waits = append(entry.Waits, wire.Wait{
				Route: w.Route,
				Usual: int(w.Usual.Milliseconds()),
			})
		}
		listed.Hosts = append(listed.Hosts, entry)
	}
	return listed
}

// newsFrom returns the news that another host sent.
func newsFrom(l *wire.Listing) watch.News {
	n := watch.News{
		Reader:   l.Reader,
		Number:   l.Number,
		Position: int64(l.Position),
		Failed:   time.Duration(l.Failed) * time.Millisecond,
		Whole:    l.Whole,
		Gone:     l.Gone,
		Left:     l.Left,
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
			Draining: s.Draining,
			Born:     int64(s.Born),
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
			host.Waits = append(host.Waits, listing.RouteWait{
				Route: w.Route,
				Usual: time.Duration(w.Usual) * time.Millisecond,
			})
		}
		n.Hosts = append(n.Hosts, host)
	}
	return n
}
