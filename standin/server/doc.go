// Package server is a stand-in for backend servers. It has a limited number of
// slots, takes each task's run time from the task itself, counts connections, and
// has failure modes that can be set at run time.
package server
