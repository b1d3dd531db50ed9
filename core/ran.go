package core

// Ran reports to a caller whether any task of a submission was started.
type Ran string

// The possible values of Ran.
const (
	RanNo    Ran = "no"    // no task was started, and none will be
	RanMaybe Ran = "maybe" // at least one task may have been started
	RanYes   Ran = "yes"   // at least one task ran
)

// Worse returns the value that makes a retry less safe: yes before maybe before no.
func (r Ran) Worse(other Ran) Ran {
	if r == RanYes || other == RanYes {
		return RanYes
	}
	if r == RanMaybe || other == RanMaybe {
		return RanMaybe
	}
	return RanNo
}
