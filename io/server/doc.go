// Package server starts and stops an HTTP listener.
package server
