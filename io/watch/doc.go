// Package watch is the plug-in that keeps a local copy of the lists in the
// platform's store: the configuration, backend servers and hosts.
//
// No job waits for the store. While the store can't be read, the last known
// lists stay in use, and the metrics show their age.
package watch
