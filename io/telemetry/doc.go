// Package telemetry is the plug-in for logs and metrics.
package telemetry
