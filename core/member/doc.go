// Package member detects which hosts are alive, based on heartbeats only.
//
// Each host sends heartbeats to all hosts of its own failure domain and, in turn, to
// one host of each other domain. The receiver forwards that entry to its own domain
// with its next heartbeats, so an update reaches all hosts within two periods without
// a full mesh. Each heartbeat also carries a few other entries in turn, so that a new
// host discovers the fleet. If relays are configured, only these strongest hosts of a
// failure domain exchange heartbeats with the whole domain and with other domains.
//
// There is no consensus: each host has its own view, and no guarantee to callers
// depends on it.
package member
