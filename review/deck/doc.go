// Command deck plays the scripted cases of the third review: it starts the deployed program as
// separate processes on loopback addresses, with a small store, small executors and clients of
// its own, and judges one rule by what these have seen.
package main
