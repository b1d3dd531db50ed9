// Package drain is the plug-in for the graceful shutdown (planned stop) of a host. It gives
// the load balancer time to redirect traffic, waits for running jobs, and hands the record
// of used tickets over to one peer.
package drain
