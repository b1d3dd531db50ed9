// Package health decides which backend servers may receive tasks.
//
// A server that fails every task immediately is idle, and so attracts tasks under
// any policy that counts outstanding tasks. It is ejected after several
// consecutive failures and readmitted after a successful probe with a single
// task.
package health
