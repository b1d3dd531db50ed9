package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the case of executors that start again as another kind.
const (
	labelExecutors = 7
	labelWork      = 30 * time.Millisecond
	labelPace      = 200 * time.Millisecond // between jobs
	labelLength    = 40 * time.Second
	labelRest      = 3 * time.Second // between crashes
	labelDown      = 100 * time.Millisecond
	labelWait      = 1500 * time.Millisecond
	labelSLO       = 60 * time.Millisecond
)

// playLabels lets one executor after the other crash and start again under its ID, as another
// kind. A start counts if the life that begins it lacks the label that the task requires.
func playLabels(f *fleet, trouble bool) (int, error) {
	task, room := size{
		CPU:   14000,
		MemMB: 64,
	}, size{
		CPU:   32000,
		MemMB: 65536,
	}
	f.configure(1, int(labelWait.Milliseconds()), int(labelSLO.Milliseconds()))
	kinds := []string{"a", "b"}
	for n := range labelExecutors {
		if err := f.addExecutor(kinds[n%len(kinds)], room, task); err != nil {
			return 0, err
		}
	}
	for _, zone := range zones {
		if err := f.addFront(zone); err != nil {
			return 0, err
		}
	}
	if err := f.settle(); err != nil {
		return 0, err
	}
	end := time.Now().Add(labelLength)
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			id, kind, h := fmt.Sprintf("%016x", rand.Uint64()), kinds[n%len(kinds)], f.fronts[n%len(f.fronts)]
			clients.Go(func() { f.send(h, "POST", id, jobOf(1, task, newSpec(labelWork, kind)), labelWait) })
			time.Sleep(labelPace)
		}
	})
	for n := 0; trouble && time.Now().Add(labelRest).Before(end); n++ {
		time.Sleep(labelRest)
		e := f.executors[n%len(f.executors)]
		e.mu.Lock()
		kind := e.kind
		e.mu.Unlock()
		e.crash()
		time.Sleep(labelDown)
		if kind = "b"; e.kind == "b" {
			kind = "a"
		}
		if err := e.begin(kind); err != nil {
			return 0, err
		}
	}
	clients.Wait()
	breaks := 0
	for _, e := range f.executors {
		for _, s := range e.began() {
			if s.spec.requires != "" && s.spec.requires != s.kind {
				f.record.addAt(s.at, "executor %s, kind %s, started %s, which requires %s", s.executor, s.kind, s.task, s.spec.requires)
				breaks++
			}
		}
	}
	return breaks, nil
}
