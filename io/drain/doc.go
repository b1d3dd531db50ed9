// Package drain is the plug-in for a planned stop: it lets the balancer turn
// away, finishes what runs, and hands the memory of used tickets to one peer.
package drain
