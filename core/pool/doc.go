// Package pool decides about the backend servers of one service that this
// host owns: leases, fencing tokens, runs of tasks, and where a task goes.
//
// A backend server is the arbiter of its own ownership: it ignores orders with
// a lower fencing token than the highest it has seen. So a new owner needs no
// agreement with the old one. It looks at what runs there, without extending
// the lease, and stops what it doesn't know before it uses the server.
//
// No run is given up as ended before that is proved: by the server's lists, by
// an answered stop, by a new incarnation of the server, or by a lease that
// must have expired on the slowest clock allowed.
package pool
