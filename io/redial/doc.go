// Package redial bounds how fast a client replaces its connections to one server.
package redial
