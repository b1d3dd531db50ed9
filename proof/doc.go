// Package proof contains the end-to-end tests of the system's guarantees. They run
// real host processes behind fault-injecting proxies. docs/PROOFS.md lists the tests.
package proof
