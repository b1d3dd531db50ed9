// Package clock provides a clock that also runs while the machine is suspended.
//
// The monotonic readings of time.Now stop during a suspension, while other hosts, backend
// servers and callers go on. Times that are compared with theirs therefore come from this
// clock: when callers were last known to wait, when jobs arrived and when they are due. A
// time of this clock must only be compared with others of this clock: after a suspension it
// is ahead of time.Now. Its wall clock reading has no meaning.
package clock
