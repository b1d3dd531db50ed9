// Package ready is the plug-in for the health probes, which tell the platform's load
// balancer whether this host accepts new callers.
package ready
