// Package proxy is a small TCP proxy that injects network faults, chosen by
// the IP number that a connection comes from.
package proxy
