// Package inquiry decides when a job is known to start no more: each host that may have it has
// answered a request to cancel it, or can't start it any more.
package inquiry
