// Package ticket issues signed identifiers for submissions, each bound to the one
// process that may start the submission.
//
// A ticket contains the incarnation of the process that issued it. Only that
// incarnation, or the successor that takes it over once it has stopped, starts the
// tasks submitted under the ticket. Ownership needs no lease, no synchronized clocks
// and no consensus: it is part of the identifier.
package ticket
