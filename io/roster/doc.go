// Package roster is the membership plug-in of the platform edition. It exchanges
// heartbeats between hosts, tracks which host holds which backend servers, shares the
// store's lists within a failure domain, and provides the view from which homes are
// chosen.
package roster
