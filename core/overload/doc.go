// Package overload decides which new jobs a host refuses because it gets to its work late.
//
// A host with more work than processor time gets to all of it later and later, until every
// answer is late. Refusing a job costs it a small part of what serving the job does, so it
// refuses as many as needed to serve the others on time.
package overload
