package timeline

import (
	"net"
	"slices"
	"time"
)

// leadTime is how long before the first line about a job the lines of its hosts are shown.
const leadTime = 2 * time.Second

// Timelines holds the lines about certain jobs.
type Timelines struct {
	jobs      map[string][]Line
	ofHosts   []Line
	addresses map[string][]string // hosts by addresses that they listen on, with and without port
}

// NewTimelines returns empty timelines of the given jobs.
func NewTimelines(jobs ...string) *Timelines {
	t := &Timelines{
		jobs:      map[string][]Line{},
		addresses: map[string][]string{},
	}
	for _, job := range jobs {
		t.jobs[job] = nil
	}
	return t
}

// Wants reports whether a line may be displayed.
func (t *Timelines) Wants(l Line) bool {
	_, ok := t.jobs[l.Job]
	return ok || l.ofHost()
}

// Add processes a line.
func (t *Timelines) Add(l Line) {
	switch {
	case l.Message == listening:
		for _, address := range []string{l.Address, ip(l.Address)} {
			if !slices.Contains(t.addresses[address], l.Host) {
				t.addresses[address] = append(t.addresses[address], l.Host)
			}
		}
	case l.ofHost():
		t.ofHosts = append(t.ofHosts, l)
	case t.Wants(l):
		t.jobs[l.Job] = append(t.jobs[l.Job], l)
	}
}

func ip(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Peers returns the hosts that may be the one that a line names by its address.
func (t *Timelines) Peers(l Line) []string {
	if hosts := t.addresses[l.Home]; len(hosts) > 0 {
		return hosts
	}
	if hosts := t.addresses[l.Address]; len(hosts) > 0 {
		return hosts
	}
	// The host that accepted a link knows the other one by the port of the connection.
	return t.addresses[ip(l.Address)]
}

// Job returns the lines about a job in order of time. They include stalls of its hosts
// and links that these closed to each other, or to hosts without a log.
func (t *Timelines) Job(job string) []Line {
	lines := slices.Clone(t.jobs[job])
	if len(lines) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(lines, byTime)
	first, last := lines[0].At.Add(-leadTime), lines[len(lines)-1].At
	hosts := map[string]bool{}
	for _, l := range lines {
		hosts[l.Host] = true
		for _, peer := range t.Peers(l) {
			hosts[peer] = true
		}
	}
	for _, l := range t.ofHosts {
		peers := t.Peers(l)
		between := len(peers) == 0 || slices.ContainsFunc(peers, func(peer string) bool { return hosts[peer] })
		if hosts[l.Host] && between && !l.At.Before(first) && !l.At.After(last) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines
}
