// Package schedule decides about the jobs of one service that this host
// coordinates: which are admitted, in which order their tasks wait, and which
// host's pool of backend servers each task goes to.
//
// Tasks wait in the order of their latest start: the moment after which a job
// misses its latency objective. Under overload that order alone would serve
// everything late, so a job that can't start in time is refused as soon as
// that is known.
package schedule
