// Package intake is the plug-in that limits what clients may send and hold, on all listeners
// of the process.
package intake
