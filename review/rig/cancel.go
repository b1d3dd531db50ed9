package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// canceledJobReturns cancels two jobs, then kills the processes of all hosts and starts them again.
// A request to submit each job arrives afterwards: that of a client whose connection broke, which
// sends the job again until it gets an answer, and a late copy of a request that was answered.
func (r *rig) canceledJobReturns() {
	for range 40 { // callers that hosts learn the usual waits from
		go r.call(context.Background(), r.hosts[0], http.MethodPost, prefixOf(1)+newID(), jobBody(1, 1, 100), 12*time.Second)
		go r.call(context.Background(), r.hosts[1], http.MethodPost, prefixOf(1)+newID(), jobBody(1, 1, 100), 12*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	broken, finished := newID(), newID()
	long, short := jobBody(4, 2, 1500), jobBody(1, 2, 100)

	status, text := r.call(context.Background(), r.hosts[2], http.MethodPost, prefixOf(1)+finished, short, 12*time.Second)
	r.logf("client B: POST %s is answered %d %s", finished, status, text)
	answered := status == http.StatusOK

	ctx, breakConnection := context.WithCancel(context.Background())
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		r.logf("client A: POST %s at %s", broken, r.hosts[0].name)
		status, text := r.call(ctx, r.hosts[0], http.MethodPost, prefixOf(1)+broken, long, 12*time.Second)
		r.logf("client A: POST %s gets %d %s", broken, status, text)
	}()
	time.Sleep(400 * time.Millisecond)
	breakConnection()
	<-lost
	brokeAt := time.Now()

	acked := map[string]time.Time{}
	for i, id := range []string{broken, finished} {
		status, text := r.call(context.Background(), r.hosts[1+i], http.MethodDelete, prefixOf(1)+id, "", 4*time.Second)
		r.logf("operator's client: DELETE %s is answered %d %s", id, status, text)
		if status == http.StatusOK || status == http.StatusGone {
			acked[id] = time.Now()
		}
	}
	up := r.killAll()

	// Client A sends the job again each 1.3 s until it gets an answer.
	resent := make(chan struct{})
	go func() {
		defer close(resent)
		at := brokeAt
		for range 8 {
			at = at.Add(resubmit)
			time.Sleep(time.Until(at))
			status, text := r.call(context.Background(), r.hosts[2], http.MethodPost, prefixOf(1)+broken, long, 12*time.Second-time.Since(brokeAt))
			r.logf("client A: POST %s again is answered %d %s", broken, status, text)
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				return
			}
			at = time.Now()
		}
	}()
	// The late copy of client B's request arrives seconds after its answer.
	time.Sleep(time.Until(up.Add(contact + 700*time.Millisecond)))
	if answered {
		status, text := r.call(context.Background(), r.hosts[3], http.MethodPost, prefixOf(1)+finished, short, 12*time.Second)
		r.logf("client B: the late copy of POST %s gets %d %s", finished, status, text)
	}
	<-resent
	r.judgeStarts(acked, up)
	if r.waitReady(10*time.Second) == nil {
		r.rolledJobReturns()
	}
}

// rolledJobReturns cancels a job that has ended, stops the hosts in turn as planned and starts
// each again. A late copy of the request to submit the job arrives afterwards.
func (r *rig) rolledJobReturns() {
	id, body := newID(), jobBody(1, 2, 100)
	status, text := r.call(context.Background(), r.hosts[2], http.MethodPost, prefixOf(1)+id, body, 12*time.Second)
	r.logf("client C: POST %s is answered %d %s", id, status, text)
	if status != http.StatusOK {
		return
	}
	status, text = r.call(context.Background(), r.hosts[1], http.MethodDelete, prefixOf(1)+id, "", 4*time.Second)
	r.logf("operator's client: DELETE %s is answered %d %s", id, status, text)
	if status != http.StatusOK && status != http.StatusGone {
		return
	}
	acked := map[string]time.Time{id: time.Now()}
	up := r.rollAll()
	time.Sleep(time.Until(up.Add(contact + 700*time.Millisecond)))
	status, text = r.call(context.Background(), r.hosts[3], http.MethodPost, prefixOf(1)+id, body, 12*time.Second)
	r.logf("client C: the late copy of POST %s gets %d %s", id, status, text)
	r.judgeStarts(acked, up)
}

// rollGap is the pause between the start of a host that was stopped and the stop of the next.
const rollGap = 2 * time.Second

// rollAll stops the hosts in turn and starts each again, unless there is no trouble. It returns
// when the last one was started.
func (r *rig) rollAll() time.Time {
	up := r.started
	for _, h := range r.hosts {
		time.Sleep(rollGap)
		if !*trouble {
			continue
		}
		r.logf("%s is stopped as planned", h.name)
		h.stop(syscall.SIGTERM)
		if err := h.start(); err != nil {
			r.logf("%s doesn't start: %s", h.name, err)
		}
		up = time.Now()
		r.logf("%s is started again", h.name)
	}
	return up
}

// judgeStarts checks the starts of canceled jobs, given when their cancelling was acknowledged and
// when the last host was started.
func (r *rig) judgeStarts(acked map[string]time.Time, up time.Time) {
	for id, at := range acked {
		for _, t := range r.startsOf(id) {
			since := t.began.Sub(at)
			inTouch := t.began.Sub(up) > contact
			r.logf("job %s: start of %s %d ms after the acknowledgement, %d ms after the last start of a host", id, t.task, since.Milliseconds(), t.began.Sub(up).Milliseconds())
			if since > cancelLimit && inTouch {
				r.violate("UNASKED: %s is started %d ms after its cancelling was acknowledged, by %s, in touch for %d ms", t.task, since.Milliseconds(), t.from, t.began.Sub(up).Milliseconds())
			}
		}
	}
}

// killAll kills all processes at the same moment and starts them again, unless there is no
// trouble. It returns when the last one was started.
func (r *rig) killAll() time.Time {
	if !*trouble {
		time.Sleep(500 * time.Millisecond)
		return r.started
	}
	r.logf("all processes are killed")
	for _, h := range r.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range r.hosts {
		<-h.exited
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			r.logf("%s doesn't start: %s", h.name, err)
		}
	}
	up := time.Now()
	r.logf("all processes are started again")
	return up
}
