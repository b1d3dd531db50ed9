package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	kindCrashes = 16
	kindPause   = 3500 * time.Millisecond // between two crashes
	kindDown    = 100 * time.Millisecond  // until an executor that crashed is back
	kindJobs    = 250 * time.Millisecond  // between two jobs of a client
	wanted      = "b"
)

// otherKind lets single executors crash and come back under their IDs as another kind, until the
// rule is broken. Clients submit jobs that require the kind before.
func (r *rig) otherKind() {
	for i, e := range r.servers {
		if i/zones%2 == 1 {
			e.mu.Lock()
			e.labels = []string{wanted, fmt.Sprintf("r%d", i%zones)}
			e.mu.Unlock()
			e.register()
		}
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	var ids []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, h := range r.hosts {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(kindJobs):
				}
				id := newID()
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				body := fmt.Sprintf(`{"task_spec":"cpu=1000 ms=20 fails=0","best_effort":true,"steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimate_ms":20,"requires":"%s"}]}`, wanted)
				status, text := r.call(context.Background(), h, http.MethodPost, prefixOf(1)+id, body, 2*time.Second)
				r.logf("client: POST %s at %s, requires %s, is answered %d %s", id, h.name, wanted, status, text)
			}
		})
	}
	// misplaced returns the starts on executors of another kind.
	misplaced := func() (found []*taskRun) {
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			for _, t := range r.startsOf(id) {
				if !slices.Contains(t.labels, wanted) {
					found = append(found, t)
				}
			}
		}
		return found
	}
	for i := range kindCrashes {
		time.Sleep(kindPause)
		if !*trouble {
			continue
		}
		if len(misplaced()) > 0 {
			break
		}
		// Those that have the label take it in turns to lose it.
		var having, lacking []*executor
		for _, e := range r.servers {
			if slices.Contains(e.labels, wanted) {
				having = append(having, e)
			} else {
				lacking = append(lacking, e)
			}
		}
		e := having[i%len(having)]
		r.logf("executor %s crashes, and is back after %s as kind a", e.id, kindDown)
		e.restart(kindDown, []string{"a", e.labels[1]})
		other := lacking[i%len(lacking)]
		time.Sleep(time.Second)
		r.logf("executor %s crashes, and is back after %s as kind %s", other.id, kindDown, wanted)
		other.restart(kindDown, []string{wanted, other.labels[1]})
	}
	close(done)
	group.Wait()
	for _, t := range misplaced() {
		r.violate("ROUTE: %s run %d requires %s and starts on %s of %v, ordered by %s", t.task, t.run, wanted, t.server, t.labels, t.from)
	}
}
