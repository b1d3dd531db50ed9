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
//
// A server may start again under its ID. Orders sent before a restart was noticed, in its lists,
// the list of servers or a clock that can't be that of the earlier process, may still be
// carried out by the new process. So orders after it carry a higher token, and a run that
// may be at the new process stays until its first lists under that token.
//
// A run lives only while its caller is known to wait. Leases never reach beyond a fixed
// time after the last confirmation, on the slowest clock allowed, so a server ends the run
// by its own clock even if this host stalls and no stop arrives. A lease holds for all runs
// on its server: the run confirmed longest ago limits it, and a task starts only on a server
// whose leases granted so far, also by an earlier owner, end by the limit of the task.
package pool
