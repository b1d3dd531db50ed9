// Package owner chooses which hosts coordinate jobs, the homes, and which of
// them holds each backend server.
//
// A failure domain has its own homes, as many as its backend servers need, so
// that a domain which is cut off goes on alone. The hosts that run longest are
// the homes: one that restarts does not take its place back, because each move
// costs the work that is under way. Rendezvous hashing spreads the servers
// over the homes and moves only those of a home that comes or goes.
package owner
