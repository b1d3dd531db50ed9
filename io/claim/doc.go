// Package claim is the plug-in for callers that bring their own idempotency
// key: the platform's table keeps which ticket stands for a key.
//
// Writes are committed in groups, under a rate that all hosts share. An
// unclear write is settled by reading the claim back: its value is unique.
package claim
