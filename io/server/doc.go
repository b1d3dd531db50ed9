// Package server provides an HTTP listener with graceful shutdown.
package server
