// Package confirm derives when the callers of open calls were last known to wait.
//
// A host that acts for a caller of another host must stop in time when the caller leaves,
// also if no message about that arrives. It therefore asks the other host again and again
// which calls are still open there. Each answer is dated by the time at which the question
// was sent, on the asking host's own steady clock, so that slow processes and links only
// ever make a confirmation older than it is.
package confirm
