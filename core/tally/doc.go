// Package tally counts the answers that callers got, by cause, kind of job, failure
// domain and time, in bounded memory.
package tally
