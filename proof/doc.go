// Package proof proves what must always hold, with real host processes
// behind fault-injecting proxies. docs/PROOFS.md lists the proofs.
package proof
