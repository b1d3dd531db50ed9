package peer

import (
	"context"

	"rosemarywalk/io/wire"
)

// RequestKind identifies the field of a frame that a handler serves.
type RequestKind string

// The fields of a frame that carry a request.
const (
	KindCall     RequestKind = "call"
	KindBeat     RequestKind = "beat"
	KindPull     RequestKind = "pull"
	KindHandover RequestKind = "handover"
	KindAsk      RequestKind = "ask"
	KindSubmit   RequestKind = "submit"
	KindLend     RequestKind = "lend"
	KindHalt     RequestKind = "halt"
	KindRoom     RequestKind = "room"
	KindOpen     RequestKind = "open"
	KindUnknown  RequestKind = "unknown"
	KindCrash    RequestKind = "crash"
	KindFind     RequestKind = "find"
	KindFetch    RequestKind = "fetch"
	KindList     RequestKind = "list"
	KindListing  RequestKind = "listing"
)

// Handler serves the frames of one Part. Plug-ins provide handlers in the fx group
// "handlers".
type Handler struct {
	Kind RequestKind
	// Serve answers a frame. It starts no work if the cause of ctx's end is ErrWithdrawn.
	Serve func(ctx context.Context, f wire.Frame) (answer wire.Frame, ok bool)
	// InOrder serves the frames of a link sequentially, in order of arrival. Such a
	// handler runs in the link's read loop and must not block.
	InOrder bool
}

// requestKind returns the request field that is set in a frame, or "" for an answer.
func requestKind(f wire.Frame) RequestKind {
	switch {
	case f.Call != nil:
		return KindCall
	case f.Beat != nil:
		return KindBeat
	case f.Pull != nil:
		return KindPull
	case f.Handover != nil:
		return KindHandover
	case f.Ask != nil:
		return KindAsk
	case f.Submit != nil:
		return KindSubmit
	case f.Lend != nil:
		return KindLend
	case f.Halt != nil:
		return KindHalt
	case f.Room != nil:
		return KindRoom
	case f.Open != nil:
		return KindOpen
	case f.Unknown != nil:
		return KindUnknown
	case f.Crash != nil && f.Crash.Losses != nil:
		return KindCrash
	case f.Find != nil:
		return KindFind
	case f.Fetch != nil:
		return KindFetch
	case f.List != nil:
		return KindList
	case f.Listing != nil && f.Id == 0:
		return KindListing
	}
	return ""
}

// isProbed reports whether a frame is a call that is only served as long as its caller is
// known to wait.
func isProbed(f wire.Frame) bool { return f.Submit != nil || f.Lend != nil }

// kindOf returns the kind of a frame as the counters name it.
func kindOf(f wire.Frame) string {
	switch part := requestKind(f); {
	case part != "":
		return string(part)
	case f.Rows != nil:
		return "rows"
	case f.Probe != nil || f.Probed != nil:
		return "probe"
	}
	return "reply"
}
