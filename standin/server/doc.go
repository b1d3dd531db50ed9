// Package server is a stand-in for backend servers: slots, connections, run
// times that tasks name themselves, and failure modes to switch on.
package server
