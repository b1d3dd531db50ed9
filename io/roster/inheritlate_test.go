package roster

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/core/listing"
)

// TestInheritedLate guards against a host that counts a new host earlier than the one from which it
// has the rows, as the answer took long.
func TestInheritedLate(t *testing.T) {
	h := newHalves()
	heir := newHostRows(6*time.Second, maxReadAge)
	read := func(seconds float64, names ...string) {
		var rows []listing.Host
		for _, name := range names {
			rows = append(rows, listing.Host{
				Name:           name,
				Address:        name,
				Domain:         "d",
				HeartbeatCount: int(seconds),
			})
		}
		h.left.update(h.at(seconds), rows)
		if seconds > 21 {
			heir.update(h.at(seconds), rows)
		}
	}
	read(0, "a")
	read(19, "a")
	read(20, "a", "new")
	asked, answered := 20.1, 21.0
	heir.inherit(h.at(asked), h.at(answered), h.left.toWire(h.at(answered)))
	for s := 21.5; s < 30; s += 0.25 {
		read(s, "a", "new")
		for _, address := range sorted(heir.current()) {
			assert.Assert(t, slices.Contains(sorted(h.left.current()), address), "%s votes at %v s", address, s)
		}
	}
}
