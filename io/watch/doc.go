// Package watch is the plug-in that keeps what the platform's store lists:
// the configuration, backend servers and hosts.
//
// Nothing on the path of a job waits for the store. While it can't be read,
// what was known last holds, with its age in the metrics.
package watch
