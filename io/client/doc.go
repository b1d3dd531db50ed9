// Package client is the caller's side of the callers' HTTP interface.
package client
