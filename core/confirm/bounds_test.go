package confirm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBounds checks, for any time after which callers submit again, that a whole lease fits
// between the start of a run and the time at which the run must have ended.
func TestBounds(t *testing.T) {
	for _, resubmit := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond, 10 * time.Second} {
		b := NewBounds(resubmit, 900*time.Millisecond)
		assert.Assert(t, b.MaxAge+lengthen(b.Lease) < b.MaxUnconfirmed, "%s: %+v", resubmit, b)
		assert.Assert(t, b.MaxAge > 0 && b.StopUnconfirmed > b.MaxAge && b.StopUnconfirmed < b.MaxUnconfirmed, "%s: %+v", resubmit, b)
		assert.Assert(t, b.AnnounceAge > 0 && b.AnnounceAge < b.MaxAge, "%s: %+v", resubmit, b)
		assert.Assert(t, b.AnnouncementTTL > lengthen(lengthen(b.MaxUnconfirmed)), "%s: %+v", resubmit, b)
		assert.Assert(t, b.MaxUnconfirmed < resubmit, "%s: %+v", resubmit, b)
	}
	assert.Equal(t, NewBounds(0, time.Second), Bounds{Lease: time.Second})
}
