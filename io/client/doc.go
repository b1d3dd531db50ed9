// Package client is a client for the HTTP API that hosts serve to callers.
package client
