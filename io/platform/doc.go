// Package platform is the plug-in that accesses the platform's service: its table, its
// object store and its list of live and leaving hosts.
package platform
