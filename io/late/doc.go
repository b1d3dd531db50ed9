// Package late measures how late this host gets to its own work, as it does without processor
// time, and extends timeouts by that: what has arrived in time may not have been read yet, so
// the host's own delay is no evidence about others. Timeouts that others rely on, such as those
// of leases and votes, are not extended.
package late
