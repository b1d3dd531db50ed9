// Package pool manages the backend servers of one service that this host owns:
// leases, fencing tokens, runs of tasks, and the placement of tasks on servers.
//
// A backend server decides itself who owns it: it rejects orders with a fencing
// token lower than the highest it has seen. So a new owner needs no agreement
// with the previous one. It lists the server's runs without extending the lease,
// and stops the runs it does not know before it places tasks there.
//
// A run is reported as ended only when that is proved: by the server's lists, by
// a confirmed stop, by a new incarnation of the server, or by a lease that must
// have expired even on the slowest clock allowed.
package pool
