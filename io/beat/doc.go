// Package beat translates between heartbeats on the wire and what hosts know of
// each other.
package beat
