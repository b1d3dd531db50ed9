// Package ticket names submissions so that only one process can start them.
//
// A ticket carries the incarnation of the process that issued it. Only that
// incarnation ever starts the tasks submitted under the ticket, so ownership
// needs no lease, no clock and no agreement: it is part of the name.
package ticket
