// Package place decides which backend server starts which task next.
//
// One Model serves one service at one host. It holds the tasks that wait,
// knows the backend servers, and starts a task when its policy finds a
// server for it. It asks nobody on the way: what it knows of other hosts is
// only how many there are.
package place
