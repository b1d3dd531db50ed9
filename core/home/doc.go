// Package home selects the host that queues the tasks of a service, its home.
//
// A host that sees only its own tasks places them worse than a single queue that
// sees all of them, and exchanging this knowledge costs messages. So the home
// issues the tickets for a service, and jobs are forwarded to it in a single
// message that contains the whole job. Every host computes the home from the list
// of live hosts. While two hosts disagree, both queue: this costs response time,
// but never starts a task twice.
package home
