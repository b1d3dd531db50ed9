// Package schedule schedules the jobs of one service that this host coordinates:
// it decides which jobs are admitted, in which order their tasks are queued, and
// to which host's pool of backend servers each task is sent.
//
// Jobs are queued by latest start: the time after which a job misses its latency
// objective. Under overload that order alone would make every job late, so a
// job that can't start in time is refused as soon as this is known.
package schedule
