package loop

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartsWakeSeparately guards against periodic work of several parts of a process that wakes
// it for each part, as they start at different times, and checks that each part keeps its period.
func TestPartsWakeSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			short   = 50 * time.Millisecond
			long    = 2 * short
			delay   = 13 * time.Millisecond // between the starts of two parts
			observe = 10 * long
		)
		defer func(at time.Time) { started = at }(started)
		started = time.Now()
		periods := []time.Duration{short, short, long}
		var mu sync.Mutex
		calls := map[int]int{} // by part
		wakeUps := map[time.Time]bool{}
		ctx, cancel := context.WithCancel(t.Context())
		for part, period := range periods {
			go Every(ctx, period, func(context.Context) {
				mu.Lock()
				defer mu.Unlock()
				calls[part]++
				wakeUps[time.Now()] = true
			})
			time.Sleep(delay)
		}
		time.Sleep(time.Until(started.Add(observe + short/2)))
		cancel()
		synctest.Wait()
		for part, period := range periods {
			assert.Equal(t, calls[part], int(observe/period)+1, "the call at once, and one a period")
		}
		assert.Equal(t, len(wakeUps), int(observe/short)+len(periods))
	})
}
