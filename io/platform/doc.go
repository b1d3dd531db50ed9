// Package platform is the plug-in for the platform's service: its table, its
// object store and its list of live and leaving hosts.
package platform
