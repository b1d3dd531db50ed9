package kernel

import "slices"

// Edition is a set of plug-ins that make one program.
type Edition string

// The editions.
const (
	Standalone Edition = "standalone" // tickets, own configuration document
	Platform   Edition = "platform"   // on the users' platform
)

// in reports whether a plug-in belongs to an edition; one that names none is
// part of the standalone program only.
func (p Plugin) in(e Edition) bool {
	if len(p.Editions) == 0 {
		return e == Standalone
	}
	return slices.Contains(p.Editions, e)
}
