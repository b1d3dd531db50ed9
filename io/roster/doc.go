// Package roster is the plug-in for the hosts' view of each other where they
// run on the users' platform: heartbeats, which host holds which backend
// servers, and who is home to what.
package roster
