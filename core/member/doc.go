// Package member knows which hosts are alive, from heartbeats alone.
//
// Each host sends heartbeats to all hosts of its own failure domain and to
// one host of each other domain, drawn anew each time. Whoever is drawn passes
// on what it heard to its own domain with its next heartbeats, so news crosses
// the fleet in two periods without all hosts talking to all. A few more
// entries ride along in turn, so that a new host finds the fleet. Nothing is
// agreed on: each host has its own view, and no promise to callers rests on it.
package member
