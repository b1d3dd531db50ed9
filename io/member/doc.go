// Package member is the plug-in that exchanges heartbeats between hosts. Heartbeats also
// carry successors and quota demand, and show whether a peer has a newer host list or newer
// configuration rows to fetch.
package member
