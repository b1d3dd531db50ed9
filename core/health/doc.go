// Package health decides which backend servers may be given work.
//
// A server that fails everything at once is idle, and so looks attractive
// to any policy that counts outstanding tasks. It is ejected after a few
// failures in a row and probed back with a single task.
package health
