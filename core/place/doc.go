// Package place decides which backend server starts which task next.
//
// One Model serves one service at one host. It holds the waiting tasks and the
// state of the backend servers, and starts a task when its policy finds a server
// for it. Decisions need no communication: all a Model knows of other hosts is
// how many of them queue for the service.
package place
