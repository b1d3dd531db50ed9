package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of machines that are replaced before a final fault.
const (
	replaceExecutors = 9
	replaceTasks     = 4
	replaceWork      = 900 * time.Millisecond
	replacePace      = 400 * time.Millisecond // between jobs
	replaceWait      = 1500 * time.Millisecond
	replaceSLO       = 60 * time.Millisecond
	retransmit       = 1300 * time.Millisecond
	patience         = 4 * time.Second  // in which a client sends a job again
	replaceCalm      = 12 * time.Second // before the first replacement
	replaceGap       = 2 * time.Second  // until the new machine comes
	replaceRest      = 2 * time.Second  // from when the new machine is ready
	outage           = time.Second      // of all processes
	recovery         = 12 * time.Second
	afterRecovery    = 5 * time.Second
	leastServed      = 0.25
)

// replaceLength is the length of the traffic before the final fault without replacements.
const replaceLength = 30 * time.Second

// request is a job of a client with its attempts.
type request struct {
	sent   time.Time
	served bool
}

// playReplace replaces each machine once, then kills all processes and starts them again. It
// counts a break if less than a quarter of the requests sent after the recovery are served.
func playReplace(f *fleet, trouble bool) (int, error) {
	task, room := size{
		CPU:   14000,
		MemMB: 64,
	}, size{
		CPU:   32000,
		MemMB: 65536,
	}
	f.configure(1, int(replaceWait.Milliseconds()), int(replaceSLO.Milliseconds()))
	for range replaceExecutors {
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
	var mu sync.Mutex
	var requests []*request
	active := slices.Clone(f.fronts)
	pick := func() *front {
		mu.Lock()
		candidates := slices.Clone(active)
		mu.Unlock()
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		for _, h := range candidates {
			if h.isReady() {
				return h
			}
		}
		return candidates[0]
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(replacePace)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			r := &request{sent: time.Now()}
			requests = append(requests, r)
			clients.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				for time.Since(r.sent) < patience {
					a := f.send(pick(), "POST", id, jobOf(replaceTasks, task, newSpec(replaceWork, "")), replaceWait)
					if a.status != 0 && a.status != 502 && a.status != 504 {
						r.served = a.status == 200
						return
					}
					time.Sleep(retransmit)
				}
			})
		}
	})
	start := time.Now()
	time.Sleep(replaceCalm)
	if trouble {
		for i := range zones {
			mu.Lock()
			old := active[0]
			active = active[1:]
			mu.Unlock()
			f.signal(old, syscall.SIGKILL)
			<-old.ended
			time.Sleep(replaceGap)
			if err := f.addFront(zones[i]); err != nil {
				return 0, err
			}
			fresh := f.fronts[len(f.fronts)-1]
			for end := time.Now().Add(leadTime); !fresh.isReady(); time.Sleep(step) {
				if time.Now().After(end) {
					return 0, errNotReady
				}
			}
			f.record.add("%s is ready in place of %s", fresh.name, old.name)
			mu.Lock()
			active = append(active, fresh)
			mu.Unlock()
			time.Sleep(replaceRest)
		}
	}
	time.Sleep(time.Until(start.Add(replaceLength)))
	fault := time.Now()
	for _, h := range active {
		f.signal(h, syscall.SIGKILL)
	}
	time.Sleep(outage)
	for _, h := range active {
		<-h.ended
		if err := f.start(h); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	time.Sleep(recovery + afterRecovery)
	close(stop)
	clients.Wait()
	before := servedShare(requests, time.Time{}, fault)
	after := servedShare(requests, back.Add(recovery), time.Now())
	f.record.add("served: %.2f of the requests before the final fault, %.2f of those sent later than %s after the machines were back", before, after, recovery)
	if before >= leastServed && after < leastServed {
		return 1, nil
	}
	return 0, nil
}

// servedShare returns the share of the requests sent in a time that were served.
func servedShare(requests []*request, from, to time.Time) float64 {
	all, served := 0, 0
	for _, r := range requests {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		all++
		if r.served {
			served++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(served) / float64(all)
}
