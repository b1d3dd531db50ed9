// Package dispatch is the plug-in that runs jobs: it passes events to the decision
// models and carries out the commands that they return.
//
// State is sharded, each shard under its own lock: jobs by ticket, queued tasks by
// service. A goroutine holds at most one of these locks at a time.
package dispatch
