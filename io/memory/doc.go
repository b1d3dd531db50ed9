// Package memory is the plug-in that sets the garbage collector's limits.
package memory
