// Package ready is the plug-in that tells the platform's balancer whether
// this host wants new callers.
package ready
