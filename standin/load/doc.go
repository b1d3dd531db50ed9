// Package load generates open-loop load against hosts: jobs arrive at random
// times that don't depend on earlier answers. It reports the outcomes and each
// job's slowdown, its response time divided by its ideal time.
package load
