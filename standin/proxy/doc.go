// Package proxy is a TCP proxy for tests that injects network faults, selected by
// the source IP address of a connection.
package proxy
