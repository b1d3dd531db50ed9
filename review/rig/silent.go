package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	silences  = 9
	trialTime = 6 * time.Second
	step      = 250 * time.Millisecond // silences come at other moments of the hosts' periods each time
	slack     = 50 * time.Millisecond  // for the requests of this program
)

// silentConnections makes the open connections to the store go silent for good, several times,
// and changes the configuration soon after each, until the rule is broken. New connections work.
func (r *rig) silentConnections() {
	time.Sleep(time.Until(r.started.Add(6200 * time.Millisecond)))
	for trial := range silences {
		next := time.Now().Add(trialTime + contact + time.Duration(trial+1)*step)
		r.silence(trial)
		if r.broken > 0 {
			return
		}
		time.Sleep(time.Until(next))
	}
}

func (r *rig) silence(trial int) {
	silentAt := time.Now()
	if *trouble {
		r.store.hush()
		r.logf("silence %d: the open connections to the store are silent from now on", trial)
	}
	time.Sleep(300 * time.Millisecond)
	dropped, added := r.version, r.version+1
	r.putRoutes(added)
	acked := time.Now()
	from := acked.Add(configApply + slack)
	if touched := silentAt.Add(contact + slack); *trouble && touched.After(from) {
		from = touched
	}
	var group sync.WaitGroup
	for _, h := range r.hosts {
		group.Go(func() { r.ask(h, added, acked, from, silentAt.Add(trialTime)) })
		group.Go(func() { r.submitDropped(h, dropped, acked, from, silentAt.Add(trialTime)) })
	}
	group.Wait()
}

// ask asks a host for the count of the route that was added.
func (r *rig) ask(h *host, added int, acked, from, until time.Time) {
	last, late := time.Time{}, 0
	for time.Now().Before(until) {
		sent := time.Now()
		status, _ := r.call(context.Background(), h, http.MethodGet, prefixOf(added), "", time.Second)
		if status == http.StatusNotFound {
			last = sent
			if sent.After(from) {
				late++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if late > 0 {
		r.violate("CONFIG: %s answered 404 for route %s to %d requests sent up to %d ms after the acknowledgement, in touch", h.name, prefixOf(added), late, last.Sub(acked).Milliseconds())
	}
	r.logf("%s answered 404 for the added route %s until %d ms after the acknowledgement", h.name, prefixOf(added), last.Sub(acked).Milliseconds())
}

// submitDropped submits jobs to the route that was dropped.
func (r *rig) submitDropped(h *host, dropped int, acked, from, until time.Time) {
	last, late := time.Time{}, 0
	for time.Now().Before(until) {
		sent := time.Now()
		status, _ := r.call(context.Background(), h, http.MethodPost, prefixOf(dropped)+newID(), jobBody(1, 1, 20), 2*time.Second)
		if status == http.StatusOK {
			last = sent
			if sent.After(from) {
				late++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	if late > 0 {
		r.violate("CONFIG: %s ran %d jobs of the dropped route %s that were sent up to %d ms after the acknowledgement, in touch", h.name, late, prefixOf(dropped), last.Sub(acked).Milliseconds())
	}
	r.logf("%s ran jobs of the dropped route %s until %d ms after the acknowledgement", h.name, prefixOf(dropped), last.Sub(acked).Milliseconds())
}
