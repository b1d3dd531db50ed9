// Package retry bounds retries to a share of first tries.
//
// A fixed count per task multiplies the load just when servers fail. A
// budget that first tries fill and retries drain can't do that.
package retry
