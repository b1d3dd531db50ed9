// Package home chooses the host that queues for a service.
//
// A host that sees only its own tasks places them worse than one queue that
// sees all, and asking the others costs messages. So tickets for a service
// are issued by one host, its home, and its jobs are forwarded there whole: a
// message that carries the work itself. Every host computes the same home
// from the live hosts; when two disagree for a moment, both queue, which
// costs response time and never a second start.
package home
