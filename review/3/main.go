// Command 3 shows hosts that serve no long jobs, as they can't write their rows in the store:
// these list every route that ever had a caller, and outgrow the limit of a row.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"rosemarywalk/platform/wire"
	"rosemarywalk/review/bed"
)

const (
	service      = "oil-analysis"
	prefix       = "/lohu930/"
	versions     = 3   // configurations that replace all other routes
	addedRoutes  = 350 // in each of them
	rowBytes     = 65536
	longTime     = 900 * time.Millisecond
	shortTime    = 10 * time.Millisecond
	patience     = 4 * time.Second
	versionTime  = 6 * time.Second        // from one version to the next
	downTime     = time.Second            // between the kill of all processes and their start
	startGap     = 40 * time.Millisecond  // between the starts of two hosts; all within 0.3 s
	recoveryTime = 12 * time.Second       // recovery_s
	judgedTime   = 40 * time.Second       // of the traffic after that
	interval     = 400 * time.Millisecond // between requests
)

// The zones and hosts of the site dielandina-sched.
var zones = []bed.Zone{
	{
		Name:    "bogota-a",
		Hosts:   3,
		Servers: 4,
	},
	{
		Name:    "medellin-b",
		Hosts:   2,
		Servers: 4,
	},
	{
		Name:    "cali-c",
		Hosts:   2,
		Servers: 4,
	},
}

func main() { bed.Run("review/3", os.Getenv("TROUBLE") != "0", script) }

func script(b *bed.Bed) (broken bool, err error) {
	b.RowBytes = rowBytes
	if err := b.StartStore(bed.Config(1, []string{service}, bed.Route(prefix, service))); err != nil {
		return false, err
	}
	if err := b.StartZones(zones, service); err != nil {
		return false, err
	}
	c := bed.NewClient(b, prefix, patience, jobBody(4, longTime))
	stop := c.Begin(interval)
	for v := range versions {
		if !b.Disturbed {
			time.Sleep(versionTime)
			continue
		}
		putRoutes(b, v)
		if v == versions-1 {
			break
		}
		began := time.Now()
		time.Sleep(bed.ConfigApplyTime)
		useRoutes(b, v)
		time.Sleep(time.Until(began.Add(versionTime)))
	}
	for _, h := range b.Hosts {
		h.Signal(syscall.SIGKILL)
	}
	fault := time.Now()
	time.Sleep(downTime)
	for _, h := range b.Hosts {
		if err := h.Start(); err != nil {
			return false, err
		}
		time.Sleep(startGap)
	}
	back := time.Now()
	b.Record.Add("all machines are back")
	if b.Disturbed {
		time.Sleep(bed.ConfigApplyTime)
		useRoutes(b, versions-1)
	}
	time.Sleep(time.Until(back.Add(recoveryTime + judgedTime)))
	stop()
	before := c.Served(time.Time{}, fault.Add(-patience))
	after := c.Served(back.Add(recoveryTime), time.Now())
	b.Record.Add("before the final fault %.2f of the requests were served", before)
	b.Record.Add("of the requests sent later than %s after the machines were back, %.2f were served", recoveryTime, after)
	const least = 0.25
	if before >= least && after < least {
		b.Record.Add("RECOVER: less than a quarter is served")
		return true, nil
	}
	return false, nil
}

// putRoutes writes a configuration with the lasting route and those of a version.
func putRoutes(b *bed.Bed, version int) {
	routes := []wire.Route{bed.Route(prefix, service)}
	for i := range addedRoutes {
		routes = append(routes, bed.Route(addedPrefix(version, i), service))
	}
	b.PutConfig(bed.Config(3+2*version, []string{service}, routes...))
}

func addedPrefix(version, i int) string { return fmt.Sprintf("/r-%d73d%03d/", version, i) }

// useRoutes submits one short job on each of the routes that a version added, to the hosts in
// turn.
func useRoutes(b *bed.Bed, version int) {
	const parallel = 14
	var sending sync.WaitGroup
	for worker := range parallel {
		sending.Go(func() {
			for i := worker; i < addedRoutes; i += parallel {
				b.Call(b.Hosts[i%len(b.Hosts)], "POST", addedPrefix(version, i)+bed.ID(), jobBody(1, shortTime), patience)
			}
		})
	}
	sending.Wait()
	b.Record.Add("all routes of the version were used")
}

func jobBody(tasks int, taskTime time.Duration) string {
	raw, err := json.Marshal(wire.Job{
		BestEffort: true,
		TaskSpec:   taskTime.String(),
		Steps: []wire.Step{{
			Count:      tasks,
			Cpu:        14000,
			MemMb:      64,
			EstimateMs: int(taskTime.Milliseconds()),
		}},
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}
