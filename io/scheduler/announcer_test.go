package scheduler

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFramePerAnnouncedJob guards against a frame for each job that is announced at once, and
// against jobs that wait for their frame for long.
func TestFramePerAnnouncedJob(t *testing.T) {
	const jobs = 1000
	for _, pause := range []time.Duration{0, time.Millisecond, announceGap, 2 * announceGap} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var added []time.Time // by job
				frames, announced := 0, 0
				a := &announcer{now: time.Now}
				a.send = func(ids []string) {
					frames++
					for _, id := range ids {
						assert.Equal(t, id, strconv.Itoa(announced))
						assert.Assert(t, time.Since(added[announced]) <= announceGap)
						announced++
					}
				}
				for id := range jobs {
					added = append(added, time.Now())
					a.add(strconv.Itoa(id))
					time.Sleep(pause)
					synctest.Wait()
				}
				time.Sleep(announceGap)
				synctest.Wait()
				assert.Equal(t, announced, jobs)
				assert.Assert(t, frames <= 1+int(time.Since(added[0])/announceGap), frames)
				assert.Assert(t, pause < announceGap || frames == jobs, "a job that comes alone waits for others")
			})
		})
	}
}
