// Package job is the life of a submission, from its ticket to its answer.
//
// The Model is the only authority on starts: a task may be sent to a backend
// server only on a SendCmd, and the Model gives at most one per task unless
// the server is known not to have received it. Everything that could start
// a task twice (a resubmission, a late message, a retry) ends here.
package job
