// Package stall detects that this process did not run for some time, because it was
// stopped, the host was suspended, or it got no processor time. When it resumes,
// messages received before may be out of date, and other hosts may have declared it
// dead.
package stall
