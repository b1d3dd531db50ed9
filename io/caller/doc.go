// Package caller is the plug-in for callers: tickets, jobs and single
// requests over HTTP, on this host or forwarded to the host that owns them.
package caller
