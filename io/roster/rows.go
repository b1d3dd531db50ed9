package roster

import (
	"maps"
	"slices"
	"time"

	"rosemarywalk/core/listing"
)

// row is a host's row in the store, with the time of the read that first saw its
// current counter and address.
type row struct {
	host         listing.Host
	changedAt    time.Time
	changedAfter time.Time     // the change was not before this
	seenAt       time.Time     // of the read that first saw the row, or saw it move again; zero for rows that are older than this host's reads
	unmoved      time.Duration // time without a change, in which little of an outage of the store counts
	missing      bool          // it was not in the store at the last read
}

// Ages at which rows count for majorities: a host must know that it is not counted any more before
// others drop it.
const (
	unlistedFactor = 2   // of the own row, as a multiple of that at which a host counts as dead
	dropFactor     = 0.5 // the same, by which others drop it later than it may have read that
)

// newHostRows returns rows that were never read. A host whose last read is older than maxReadAge
// may not know the hosts that are new since: they give no votes for as long.
func newHostRows(staleAfter, maxReadAge time.Duration) hostRows {
	unlisted := unlistedFactor * staleAfter
	return hostRows{
		staleAfter: staleAfter,
		forget:     unlisted + maxReadAge + time.Duration(dropFactor*float64(staleAfter)),
		unlisted:   unlisted,
		outdated:   maxReadAge,
		byName:     map[string]row{},
	}
}

// hostRows holds the hosts' rows in the store as of the last read.
type hostRows struct {
	staleAfter time.Duration // age at which a row no longer counts as that of a live host
	forget     time.Duration // age at which it no longer counts for majorities
	unlisted   time.Duration // age at which the own row may not count for majorities at other hosts
	outdated   time.Duration // age of the last read at which other hosts may count other rows
	byName     map[string]row
	readAt     time.Time // of the last read
	firstRead  time.Time

	// What follows from the rows as of the last read. Views share these slices.
	live, electors, voters []listing.Host
}

// update replaces all rows. A row whose counter and address didn't change keeps its
// change time, and so ages. One that is gone ages, too, until it doesn't count for majorities
// any more: others may not have read that yet.
func (hr *hostRows) update(now time.Time, hosts []listing.Host) {
	rows := map[string]row{}
	if hr.firstRead.IsZero() {
		hr.firstRead = now
	}
	gap := min(now.Sub(hr.readAt), hr.outdated)
	for _, h := range hosts {
		old, seen := hr.byName[h.Name]
		r := row{
			host:         h,
			changedAt:    now,
			changedAfter: now,
			seenAt:       old.seenAt,
		}
		unmoved := old.unmoved + gap
		switch {
		case !seen:
			if now.Sub(hr.firstRead) >= hr.outdated {
				r.seenAt = now
			}
		case old.host.HeartbeatCount == h.HeartbeatCount && old.host.Address == h.Address:
			r.changedAt, r.changedAfter, r.unmoved = old.changedAt, old.changedAfter, unmoved
		default:
			r.changedAfter = hr.readAt
			if unmoved >= hr.forget-hr.outdated || old.host.Address != h.Address {
				r.seenAt = now // others may have dropped it or count its former address
			}
		}
		if old.missing {
			r.seenAt = now // others may have read the rows first without it
		}
		rows[h.Name] = r
	}
	for name, old := range hr.byName {
		old.unmoved += gap
		if _, ok := rows[name]; !ok && old.unmoved < hr.forget {
			old.missing = true
			rows[name] = old
		}
	}
	hr.byName, hr.readAt = rows, now
	hr.summarize()
}

// summarize computes what follows from the rows as of the last read.
func (hr *hostRows) summarize() {
	hr.live = slices.Clip(hr.youngerThan(hr.staleAfter))
	hr.electors = slices.Clip(hr.counted())
	hr.voters = slices.Clip(hr.countedEverywhere())
}

// abandoned returns the rows that may be removed from the store: they no longer count for
// majorities, and no host that is heard needs them. A host that writes such a row but isn't heard
// knows that it isn't counted, and writes the row again when it can. With each rank the rows must
// be older, so that hosts don't all remove the same ones.
func (hr *hostRows) abandoned(rank int, heard func(address string) bool) []listing.Host {
	age := hr.forget + time.Duration(rank)*removeRankDelay
	moving := map[string]bool{}
	for _, r := range hr.byName {
		if !r.missing && r.unmoved < hr.forget {
			moving[r.host.Address] = true
		}
	}
	var hosts []listing.Host
	for _, r := range hr.byName {
		address := r.host.Address
		if !r.missing && r.unmoved >= age && (moving[address] || !heard(address)) {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

// removeRankDelay is how much older a row must be for the next host of a failure domain to
// remove it.
const removeRankDelay = 2 * time.Second

// contains reports whether there is a row of the host at an address.
func (hr *hostRows) contains(address string) bool {
	for _, r := range hr.byName {
		if r.host.Address == address && !r.missing {
			return true
		}
	}
	return false
}

// alive returns the hosts whose rows changed within staleAfter before the last read.
// Age is measured to that read and not to now, so that rows don't age during an outage
// of the store.
func (hr *hostRows) alive() []listing.Host { return hr.live }

// electorate returns the hosts that count for majorities: these stay longer, so that a host
// that can't reach the store knows that it isn't counted any more before others drop it. After
// an outage of the store they also stay until they had time to write their rows again. An
// address counts once, as at most one process listens there; if its rows name several failure
// domains, it counts in none of them.
func (hr *hostRows) electorate() []listing.Host { return hr.electors }

func (hr *hostRows) counted() []listing.Host {
	byAddress := map[string]listing.Host{}
	for _, r := range hr.byName {
		if r.unmoved >= hr.forget {
			continue
		}
		h := r.host
		if other, ok := byAddress[h.Address]; ok && other.Domain != h.Domain {
			h.Domain = ""
		}
		byAddress[h.Address] = h
	}
	return slices.Collect(maps.Values(byAddress))
}

// current returns those that count at all other hosts, too: these have read the rows since
// it was new, and don't forget it yet.
func (hr *hostRows) current() []listing.Host { return hr.voters }

func (hr *hostRows) countedEverywhere() []listing.Host {
	return slices.DeleteFunc(hr.youngerThan(hr.unlisted), func(h listing.Host) bool {
		seenAt := hr.byName[h.Name].seenAt
		return !seenAt.IsZero() && hr.readAt.Sub(seenAt) < hr.outdated
	})
}

func (hr *hostRows) youngerThan(age time.Duration) []listing.Host {
	var hosts []listing.Host
	for _, r := range hr.byName {
		if !r.missing && hr.readAt.Sub(r.changedAt) < age {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

// isUnlisted reports whether other hosts may count other rows than this one: no row of the
// host at an address was seen to move, or no rows were read, for too long. These ages go
// on during an outage of the store, which looks to a host like a cut between itself and the
// store.
func (hr *hostRows) isUnlisted(now time.Time, address string) bool {
	if now.Sub(hr.readAt) >= hr.outdated {
		return true
	}
	for _, r := range hr.byName {
		if r.host.Address == address && !r.missing && now.Sub(r.changedAfter) < hr.unlisted {
			return false
		}
	}
	return true
}
