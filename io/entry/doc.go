// Package entry is the plug-in that serves the callers' HTTP API on the users'
// platform and drains the host at a planned stop.
package entry
