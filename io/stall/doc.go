// Package stall finds out that this process stood still: it was frozen, suspended,
// or got no processor time. What it was sent before may be out of date when it goes
// on, and others may have given it up.
package stall
