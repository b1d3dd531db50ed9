package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a planned stop.
const (
	grace      = 6 * time.Second
	lossSlack  = 200 * time.Millisecond
	stopJobs   = 32
	stopTasks  = 1
	stopPace   = 50 * time.Millisecond // between jobs
	stopWork   = 900 * time.Millisecond
	stopWait   = 30 * time.Second
	stopSLO    = 20 * time.Second
	beforeStop = 1700 * time.Millisecond
)

// playStop stops a front while jobs that it took wait for room, which they get before their
// deadline. A request counts as lost if its connection ends without a complete answer, and no
// executor was at work for it in the last sixth of the grace period.
func playStop(f *fleet, trouble bool) (int, error) {
	task, room := size{
		CPU:   14000,
		MemMB: 64,
	}, size{
		CPU:   16000,
		MemMB: 65536,
	}
	f.configure(1, int(stopWait.Milliseconds()), int(stopSLO.Milliseconds()))
	for range zones {
		if err := f.addExecutor("a", room, task); err != nil {
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
	stopped := f.fronts[0]
	attempts := make([]attempt, stopJobs)
	var clients sync.WaitGroup
	for i := range attempts {
		id := fmt.Sprintf("%016x", rand.Uint64())
		clients.Go(func() {
			time.Sleep(time.Duration(i) * stopPace)
			attempts[i] = f.send(stopped, "POST", id, jobOf(stopTasks, task, newSpec(stopWork, "")), stopWait)
		})
	}
	time.Sleep(beforeStop)
	term := time.Now()
	if trouble {
		f.signal(stopped, syscall.SIGTERM)
		time.AfterFunc(grace, func() { f.signal(stopped, syscall.SIGKILL) })
	}
	clients.Wait()
	lost := 0
	for _, a := range attempts {
		if a.status != 0 || a.ended.Sub(a.sent) <= lossSlack || a.ended.Sub(a.sent) >= stopWait {
			continue
		}
		runs, atWork := f.workFor(a.id, term.Add(grace*5/6), term.Add(grace))
		f.record.add("%s ended without an answer %s after the SIGTERM, %s after it was sent; %d runs so far, at work in the last sixth of the grace period: %t",
			a.id, a.ended.Sub(term).Round(time.Millisecond), a.ended.Sub(a.sent).Round(time.Millisecond), runs, atWork)
		if !atWork && a.ended.Before(term.Add(grace+time.Second)) {
			lost++
		}
	}
	return lost, nil
}

// workFor returns how many runs a job had by a time, and whether one of them was at work from
// then on or in the time before.
func (f *fleet) workFor(id string, from, to time.Time) (runs int, atWork bool) {
	for _, e := range f.executors {
		for _, s := range e.began() {
			if !strings.HasPrefix(s.task, id+".") || s.at.After(to) {
				continue
			}
			runs++
			atWork = atWork || s.ended.IsZero() || s.ended.After(from)
		}
	}
	return runs, atWork
}
