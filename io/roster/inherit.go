package roster

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core/listing"
	"rosemarywalk/core/member"
	"rosemarywalk/io/wire"
)

// inheritInterval is the time between requests for the lists of other hosts.
const inheritInterval = 100 * time.Millisecond

// inherit fetches the store's lists from the other hosts in turn until this host has lists.
// Without them, a host that starts while the store doesn't answer owns no backend servers and
// gives no votes, although its cores may make it a home.
func (l *listSharer) inherit(ctx context.Context) {
	for turn := 0; l.watcher.LacksLists(); turn++ {
		if hosts := l.others(); len(hosts) > 0 {
			l.inheritFrom(ctx, hosts[turn%len(hosts)].Address)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(inheritInterval):
		}
	}
}

// others returns the other live hosts, those of the own failure domain first.
func (l *listSharer) others() []member.Host {
	self := l.roster.Self()
	var own, foreign []member.Host
	for _, h := range l.roster.Live() {
		switch {
		case h.Address == self.Address:
		case h.Domain == self.Domain:
			own = append(own, h)
		default:
			foreign = append(foreign, h)
		}
	}
	return append(own, foreign...)
}

func (l *listSharer) inheritFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := l.peers.Call(ctx, address, wire.Frame{List: &wire.List{}})
	if err == nil {
		err = checkInherited(answer.Listing)
	}
	if err != nil {
		l.log.V(1).Info("lists not inherited", "address", address, "error", err.Error())
		return
	}
	// All times count from the request, so that the rows don't seem younger than they are.
	rows := answer.Listing.Rows
	l.roster.inheritRows(asked, rows)
	update, readAt := updateFromWire(answer.Listing), before(asked, rows.Read)
	if l.watcher.Inherit(update, readAt) {
		l.log.Info("lists inherited", "address", address, "position", update.Position,
			"servers", len(update.Servers), "hosts", len(update.Hosts), "age", time.Since(readAt).String())
	}
}

// checkInherited reports why lists can't be used by a host that has none.
func checkInherited(lists *wire.Listing) error {
	switch {
	case lists == nil:
		return errors.New("peer response contains no lists")
	case !lists.Whole || lists.Position <= 0 || lists.Rows == nil:
		return errors.New("the peer has not read the lists")
	case lists.Rows.Read < 0 || lists.Rows.First < lists.Rows.Read:
		return errors.Errorf("rows were read %d to %d ms ago", lists.Rows.First, lists.Rows.Read)
	}
	for _, r := range lists.Rows.Rows {
		if r.Name == "" || r.Address == "" || r.Changed < lists.Rows.Read || r.After < r.Changed || r.Still < 0 {
			return errors.Errorf("row %q of host %q is malformed", r.Name, r.Address)
		}
	}
	return nil
}

// before returns the time a number of milliseconds before another one.
func before(t time.Time, milliseconds int) time.Time {
	return t.Add(-time.Duration(milliseconds) * time.Millisecond)
}

// rowsToWire returns what this host knows of the hosts' rows, or nil if it never read them.
func (r *Roster) rowsToWire() *wire.HostRows {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows.readAt.IsZero() {
		return nil
	}
	return r.rows.toWire(time.Now())
}

// inheritRows adopts the rows that another host knows, unless this one has read some.
func (r *Roster) inheritRows(now time.Time, rows *wire.HostRows) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows.readAt.IsZero() {
		r.rows.inherit(now, rows)
	}
}

func (hr *hostRows) toWire(now time.Time) *wire.HostRows {
	age := func(t time.Time) int { return int(now.Sub(t).Milliseconds()) }
	rows := &wire.HostRows{
		Read:  age(hr.readAt),
		First: age(hr.firstRead),
		Rows:  []wire.HostRow{},
	}
	for _, r := range hr.byName {
		row := wire.HostRow{
			Name:    r.host.Name,
			Address: r.host.Address,
			Domain:  r.host.Domain,
			Count:   r.host.HeartbeatCount,
			Changed: age(r.changedAt),
			After:   age(r.changedAfter),
			Still:   int(r.unmoved.Milliseconds()),
			Missing: r.missing,
		}
		if !r.seenAt.IsZero() {
			seen := age(r.seenAt)
			row.Seen = &seen
		}
		rows.Rows = append(rows.Rows, row)
	}
	return rows
}

// inherit replaces all rows by those that another host knew at a time. What counts for majorities
// then counts as it does there.
func (hr *hostRows) inherit(now time.Time, rows *wire.HostRows) {
	hr.readAt, hr.firstRead = before(now, rows.Read), before(now, rows.First)
	hr.byName = map[string]row{}
	for _, r := range rows.Rows {
		inherited := row{
			host: listing.Host{
				Name:           r.Name,
				Address:        r.Address,
				Domain:         r.Domain,
				HeartbeatCount: r.Count,
			},
			changedAt:    before(now, r.Changed),
			changedAfter: before(now, r.After),
			unmoved:      time.Duration(r.Still) * time.Millisecond,
			missing:      r.Missing,
		}
		if r.Seen != nil {
			inherited.seenAt = before(now, *r.Seen)
		}
		hr.byName[r.Name] = inherited
	}
	hr.summarize()
}
