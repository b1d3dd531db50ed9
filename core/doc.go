// Package core defines the types that all decision logic shares.
//
// The packages below it are pure state machines: they do no I/O, read no
// clock, start no goroutines and use no global random source. Each has a model
// with an Update method that takes a typed message and returns typed commands,
// which the packages below rosemarywalk/io execute.
package core
