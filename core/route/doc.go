// Package route holds the active configuration: which service a request's host
// and path map to, and the limits that apply to it.
package route
