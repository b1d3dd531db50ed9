// Package caller is the plug-in that serves callers over HTTP: tickets, jobs and single
// requests, handled on this host or forwarded to the host that owns the ticket.
package caller
