// Package dispatch is the plug-in that runs jobs: it feeds what happens to
// the decision parts and carries out what they return.
//
// State is kept in shards, each under its own lock: jobs by ticket, waiting
// tasks by service. No lock is held while another is taken.
package dispatch
