package kernel

import "slices"

// Edition names a program, which consists of the plug-ins registered for it.
type Edition string

// The editions.
const (
	Standalone Edition = "standalone" // with tickets and its own configuration document
	Platform   Edition = "platform"   // runs on the users' platform
)

// includedIn reports whether a plug-in belongs to an edition. A plug-in without
// editions belongs to the standalone edition only.
func (p Plugin) includedIn(e Edition) bool {
	if len(p.Editions) == 0 {
		return e == Standalone
	}
	return slices.Contains(p.Editions, e)
}
