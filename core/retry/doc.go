// Package retry limits retries to a fraction of first attempts.
//
// A fixed number of retries per task multiplies the load exactly when servers
// fail. A token bucket that first attempts fill and retries drain bounds the
// total instead.
package retry
