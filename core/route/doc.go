// Package route holds the configuration in force: which service a request's
// host and path lead to, and under which limits.
package route
