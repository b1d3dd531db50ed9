// Package claim is the plug-in for idempotency keys that callers choose. The platform's
// table records which ticket belongs to a key.
//
// Claims are committed in groups, within a rate limit that all hosts share. A write whose
// outcome is unknown is repeated, which is safe because its value is unique.
package claim
