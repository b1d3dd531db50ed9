package main

import (
	"context"
	"net/http"
	"time"
)

const (
	staleDelay  = 2500 * time.Millisecond // from an order to its late execution
	staleCrash  = 200 * time.Millisecond  // until the executor crashes behind the cut
	staleCut    = 4 * time.Second
	staleTaskMs = 3000
)

// staleOrder lets an executor leave a start unanswered, crash behind a cut and start again under its
// ID. The new process carries out the start, late, before any host reaches it.
func (r *rig) staleOrder() {
	time.Sleep(3 * time.Second)
	for try := range 3 {
		id := newID()
		for _, e := range r.servers {
			if !*trouble {
				break
			}
			e.mu.Lock()
			e.trap = id
			e.mu.Unlock()
		}
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			r.logf("client: POST %s at %s", id, r.hosts[try].name)
			status, text := r.call(context.Background(), r.hosts[try], http.MethodPost, prefixOf(1)+id, jobBody(1, 1, staleTaskMs), 12*time.Second)
			r.logf("client: POST %s is answered %d %s", id, status, text)
		}()
		if *trouble {
			r.spring()
		}
		<-answered
		time.Sleep(time.Second)
		if both, a, b := r.overlaps(id); both > 0 {
			r.violate("TWICE: %s run %d on %s (of %s) and run %d on %s (of %s) go on together for %d ms", a.task, a.run, a.server, a.from, b.run, b.server, b.from, both.Milliseconds())
			return
		}
	}
}

// spring waits until an executor has received the start of a task, and does the rest.
func (r *rig) spring() {
	var e *executor
	var o order
	for e == nil {
		for _, candidate := range r.servers {
			select {
			case o = <-candidate.trapped:
				e = candidate
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
	ordered := time.Now()
	for _, other := range r.servers {
		other.mu.Lock()
		other.trap = ""
		other.mu.Unlock()
	}
	r.logf("executor %s leaves the start of %s run %d unanswered (deadline %d, token %d), and is cut off", e.id, o.Task, o.Run, *o.Deadline, o.Token)
	time.Sleep(staleCrash)
	e.restartUnseen(staleCrash)
	r.logf("executor %s has crashed, and started again under its ID", e.id)
	time.Sleep(time.Until(ordered.Add(staleDelay)))
	e.mu.Lock()
	status, answer := e.execute("/-/run-start", o)
	e.mu.Unlock()
	r.logf("executor %s carries out the start of %s run %d late: %d %v", e.id, o.Task, o.Run, status, answer)
	time.Sleep(time.Until(ordered.Add(staleCut)))
	e.mu.Lock()
	e.cut = false
	e.mu.Unlock()
	e.register()
	r.logf("executor %s is back", e.id)
}
