// Package owner selects the homes, which are the hosts that coordinate jobs, and
// assigns each backend server to one of them.
//
// Each failure domain has its own homes, as many as its backend servers need, so
// that a partitioned domain keeps working alone. Among equally strong hosts the ones
// with the longest uptime are the homes: a restarted host does not become a home
// again, because each reassignment loses the work in progress. Rendezvous hashing
// distributes the servers over the homes, so that only the servers of a home that is
// added or removed move.
package owner
