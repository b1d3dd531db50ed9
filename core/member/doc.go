// Package member knows which hosts are alive, from heartbeats alone.
//
// Each host sends heartbeats to all hosts of its own failure domain and to
// one host of each other domain, in turn. A heartbeat carries a few entries
// of what its sender knows, so news crosses the fleet without all hosts
// talking to all. Nothing is agreed on: each host has its own view, and no
// promise to callers rests on it.
package member
