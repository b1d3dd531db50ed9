package core

// Ran tells a caller whether work was started.
type Ran string

// The three things that a host can know about a start.
const (
	RanNo    Ran = "no"    // nothing was started, and nothing will be
	RanMaybe Ran = "maybe" // at least one start can't be ruled out
	RanYes   Ran = "yes"   // at least one task ran
)

// Worse returns whichever of the two promises less about a clean retry.
func (r Ran) Worse(other Ran) Ran {
	if r == RanYes || other == RanYes {
		return RanYes
	}
	if r == RanMaybe || other == RanMaybe {
		return RanMaybe
	}
	return RanNo
}
