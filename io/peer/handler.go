package peer

import (
	"context"

	"rosemarywalk/io/wire"
)

// Part identifies the field of a frame that a handler serves.
type Part string

// The fields of a frame that carry a request.
const (
	PartCall     Part = "call"
	PartBeat     Part = "beat"
	PartPull     Part = "pull"
	PartHandover Part = "handover"
	PartAsk      Part = "ask"
	PartSubmit   Part = "submit"
	PartLend     Part = "lend"
	PartHalt     Part = "halt"
	PartRoom     Part = "room"
	PartFind     Part = "find"
	PartFetch    Part = "fetch"
	PartList     Part = "list"
	PartListing  Part = "listing"
)

// Handler serves the frames of one Part. Plug-ins provide handlers in the fx group
// "handlers".
type Handler struct {
	Part  Part
	Serve func(ctx context.Context, f wire.Frame) (answer wire.Frame, ok bool)
	// InOrder serves the frames of a link sequentially, in order of arrival. Such a
	// handler runs in the link's read loop and must not block.
	InOrder bool
}

// partOf returns the request field that is set in a frame, or "" for an answer.
func partOf(f wire.Frame) Part {
	switch {
	case f.Call != nil:
		return PartCall
	case f.Beat != nil:
		return PartBeat
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
		return PartFetch
	case f.List != nil:
		return PartList
	case f.Listing != nil && f.Id == 0:
		return PartListing
	}
	return ""
}

// kindOf returns the kind of a frame as the counters name it.
func kindOf(f wire.Frame) string {
	switch part := partOf(f); {
	case part != "":
		return string(part)
	case f.Rows != nil:
		return "rows"
	}
	return "reply"
}
