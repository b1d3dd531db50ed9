// Package memory is the plug-in that bounds the memory of the process.
package memory
