package scheduler

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemarywalk/io/late"
)

// TestPauseOfIdleHostRefusesJobs guards against jobs that a host with hardly any work refuses
// because a few goroutines waited once: the delay of one measurement counted on each tick until
// the next one.
func TestPauseOfIdleHostRefusesJobs(t *testing.T) {
	const (
		goroutines = 100
		each       = 2 * time.Millisecond
		tick       = 10 * time.Millisecond
		target     = 10 * time.Millisecond
		jobs       = 10
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	meter := late.NewOfProcess()
	l := newLoad(target, meter)
	observe := func() {
		meter.Expect(time.Now())
		l.observe(time.Now())
	}
	observe()
	time.Sleep(6 * tick)
	observe()
	done := make(chan bool, goroutines)
	for range goroutines {
		go func() {
			for start := time.Now(); time.Since(start) < each; {
				continue
			}
			done <- true
		}()
	}
	for range goroutines {
		<-done
	}
	refused := 0
	for range 10 {
		observe()
		for range jobs {
			if !l.admit() {
				refused++
			} else {
				defer l.ended()
			}
		}
		time.Sleep(tick)
	}
	assert.Equal(t, refused, 0)
}
