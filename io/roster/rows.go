package roster

import (
	"time"

	"rosemarywalk/core/listing"
)

// row is a host's row in the store, with the time of the read that first saw its
// current counter and address.
type row struct {
	host      listing.Host
	changedAt time.Time
}

// hostRows holds the hosts' rows in the store as of the last read.
type hostRows struct {
	staleAfter time.Duration // age at which a row no longer counts as that of a live host
	byName     map[string]row
	readAt     time.Time // of the last read
}

// update replaces all rows. A row whose counter and address didn't change keeps its
// change time, and so ages.
func (hr *hostRows) update(now time.Time, hosts []listing.Host) {
	rows := map[string]row{}
	for _, h := range hosts {
		old, seen := hr.byName[h.Name]
		changed := now
		if seen && old.host.HeartbeatCount == h.HeartbeatCount && old.host.Address == h.Address {
			changed = old.changedAt
		}
		rows[h.Name] = row{
			host:      h,
			changedAt: changed,
		}
	}
	hr.byName, hr.readAt = rows, now
}

// contains reports whether there is a row of the host at an address.
func (hr *hostRows) contains(address string) bool {
	for _, r := range hr.byName {
		if r.host.Address == address {
			return true
		}
	}
	return false
}

// alive returns the hosts whose rows changed within staleAfter before the last read.
// Age is measured to that read and not to now, so that rows don't age during an outage
// of the store.
func (hr *hostRows) alive() []listing.Host {
	var hosts []listing.Host
	for _, r := range hr.byName {
		if hr.readAt.Sub(r.changedAt) < hr.staleAfter {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}
