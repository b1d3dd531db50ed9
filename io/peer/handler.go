package peer

import (
	"context"

	"rosemarywalk/io/wire"
)

// RequestKind names which part of a frame a handler serves.
type RequestKind string

// The parts of a frame that ask for something.
const (
	PartCall     RequestKind = "call"
	KindBeat     RequestKind = "beat"
	PartPull     RequestKind = "pull"
	PartHandover RequestKind = "handover"
	PartAsk      RequestKind = "ask"
	PartSubmit   RequestKind = "submit"
	PartLend     RequestKind = "lend"
	PartHalt     RequestKind = "halt"
	PartRoom     RequestKind = "room"
	PartFind     RequestKind = "find"
	KindFetch    RequestKind = "fetch"
	KindList     RequestKind = "list"
	KindListing  RequestKind = "listing"
)

// Handler serves one part; plug-ins provide them in the fx group "handlers".
type Handler struct {
	Kind  RequestKind
	Serve func(ctx context.Context, f wire.Frame) (answer wire.Frame, ok bool)
	// InOrder serves frames one after the other, as they arrived on a link; for
	// handlers that don't wait.
	InOrder bool
}

// partOf returns what a frame asks for, or "" for an answer.
func partOf(f wire.Frame) RequestKind {
	switch {
	case f.Call != nil:
		return PartCall
	case f.Beat != nil:
		return KindBeat
	case f.Pull != nil:
		return PartPull
	case f.Handover != nil:
		return PartHandover
	case f.Ask != nil:
		return PartAsk
	case f.Submit != nil:
		return PartSubmit
	case f.Lend != nil:
		return PartLend
	case f.Halt != nil:
		return PartHalt
	case f.Room != nil:
		return PartRoom
	case f.Find != nil:
		return PartFind
	case f.Fetch != nil:
		return KindFetch
	case f.List != nil:
		return KindList
	case f.Listing != nil && f.Id == 0:
		return KindListing
	}
	return ""
}

// kindOf names a frame for the counters.
func kindOf(f wire.Frame) string {
	switch part := partOf(f); {
	case part != "":
		return string(part)
	case f.Rows != nil:
		return "rows"
	}
	return "reply"
}
