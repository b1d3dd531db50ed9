package roster

import (
	"time"

	"rosemarywalk/core/listing"
)

// row is a host's row in the store, and when it last changed.
type row struct {
	host    listing.Host
	changed time.Time
}

// known is the hosts' rows as they were last read.
type known struct {
	stale time.Duration // age from which a row names no live host
	rows  map[string]row
	at    time.Time // of the last read
}

// read takes all rows; one whose counter stands still ages.
func (k *known) read(now time.Time, hosts []listing.Host) {
	rows := map[string]row{}
	for _, h := range hosts {
		old, seen := k.rows[h.Name]
		changed := now
		if seen && old.host.HeartbeatCount == h.HeartbeatCount && old.host.Address == h.Address {
			changed = old.changed
		}
		rows[h.Name] = row{
			host:    h,
			changed: changed,
		}
	}
	k.rows, k.at = rows, now
}

// alive returns the hosts that wrote their rows not long before the last read,
// so that an outage of the store ages nobody.
func (k *known) alive() []listing.Host {
	var hosts []listing.Host
	for _, r := range k.rows {
		if k.at.Sub(r.changed) < k.stale {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}
