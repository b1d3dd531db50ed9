// Package bed starts a small deployment of the platform edition for the scripts of the
// review: hosts as separate processes on loopback addresses, and a store, backend servers
// and callers as stand-ins in the process of the script.
package bed
