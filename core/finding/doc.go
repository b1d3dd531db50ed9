// Package finding collects what is wrong with an input, each with its place.
package finding
