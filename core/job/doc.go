// Package job manages the lifecycle of a submission, from its ticket to its outcome.
//
// The Model alone decides whether a task may start: a task may be sent to a backend
// server only on a SendCmd, and the Model returns at most one per task unless the
// server provably did not receive it or the job is idempotent. Everything that could
// start a task twice (a resubmission, a late message, a retry) is resolved here.
package job
