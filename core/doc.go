// Package core holds the vocabulary that every decision part shares.
//
// The packages below it decide and nothing else: they do no I/O, read no
// clock, start no goroutine and draw no global random number. Each has a
// state and an Update method that takes a typed message and returns typed
// commands for package rosemarywalk/io to run.
package core
