// Package beat converts between heartbeat messages on the wire and the types of
// the membership model.
package beat
