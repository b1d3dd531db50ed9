package timeline

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rosemarywalk/core/work"
)

// maxLease is the time within which a lease expires that is no longer extended.
const maxLease = time.Second

// Run is one run of a task.
type Run struct {
	Job     string
	Task    string
	Number  int
	Host    string // the host that ordered it
	Server  string
	Ordered time.Time
	Closed  time.Time // from then on, the run can't be running
	End     work.End  // "" if the logs have no line for its end
}

// Overlap is two runs of a task that may have run at the same time.
type Overlap struct {
	First  Run
	Second Run
}

// Duration returns for how long at most both runs ran.
func (o Overlap) Duration() time.Duration {
	return min(o.First.Closed.Sub(o.Second.Ordered), o.Second.Closed.Sub(o.Second.Ordered))
}

// Counts says how complete the logs are.
type Counts struct {
	Orders  int
	NoEnd   int // orders without an end
	NoOrder int // ends without an order
}

// Runs holds the runs in the logs of hosts.
type Runs struct {
	hosts  map[string]*process
	tasks  map[string][]*Run
	counts Counts
}

// process is the latest process of a host.
type process struct {
	last      time.Time // time of its latest line
	listeners map[string]bool
	open      map[runKey][]*Run
}

type runKey struct {
	task   string
	number int
	server string
}

// NewRuns returns an empty set of runs.
func NewRuns() *Runs {
	return &Runs{
		hosts: map[string]*process{},
		tasks: map[string][]*Run{},
	}
}

// Add processes a line. The lines of a host must come in the order of its log.
func (r *Runs) Add(l Line) {
	p := r.hosts[l.Host]
	// A process opens each of its listeners once.
	restarted := p != nil && l.Message == listening && p.listeners[l.Logger]
	if restarted {
		r.expire(p)
	}
	if p == nil || restarted {
		p = &process{
			listeners: map[string]bool{},
			open:      map[runKey][]*Run{},
		}
		r.hosts[l.Host] = p
	}
	switch l.Message {
	case listening:
		p.listeners[l.Logger] = true
	case runOrdered:
		r.counts.Orders++
		run := &Run{
			Job:     l.Job,
			Task:    l.Task,
			Number:  l.Run,
			Host:    l.Host,
			Server:  l.Server,
			Ordered: l.At,
		}
		p.open[l.key()] = append(p.open[l.key()], run)
		r.tasks[l.Task] = append(r.tasks[l.Task], run)
	case runEnded:
		r.end(p, l)
	}
	if l.At.After(p.last) {
		p.last = l.At
	}
}

func (r *Runs) end(p *process, l Line) {
	open := p.open[l.key()]
	if len(open) == 0 {
		// A task for which no server had capacity ends without an order.
		if l.End != work.EndNotStarted {
			r.counts.NoOrder++
		}
		return
	}
	run := open[0]
	run.End, run.Closed = l.End, l.At
	if l.End == work.EndUnknown {
		run.Closed = l.At.Add(maxLease)
	}
	p.open[l.key()] = open[1:]
	if len(open) == 1 {
		delete(p.open, l.key())
	}
}

// expire closes the runs whose ends a process did not log. It may have extended their
// leases until its last line.
func (r *Runs) expire(p *process) {
	for _, runs := range p.open {
		for _, run := range runs {
			run.Closed = p.last.Add(maxLease)
			r.counts.NoEnd++
		}
	}
	clear(p.open)
}

// Overlaps returns the pairs of runs that may have overlapped, by the time of the second
// order. It must be called after all lines were added.
func (r *Runs) Overlaps() ([]Overlap, Counts) {
	for _, p := range r.hosts {
		r.expire(p)
	}
	var found []Overlap
	for _, runs := range r.tasks {
		if len(runs) > 1 {
			found = append(found, overlaps(runs)...)
		}
	}
	slices.SortFunc(found, func(a, b Overlap) int {
		return cmp.Or(a.Second.Ordered.Compare(b.Second.Ordered), strings.Compare(a.First.Task, b.First.Task))
	})
	return found, r.counts
}

// overlaps returns the pairs among the runs of one task.
func overlaps(runs []*Run) []Overlap {
	runs = slices.DeleteFunc(slices.Clone(runs), func(run *Run) bool { return run.End == work.EndNotStarted })
	slices.SortFunc(runs, func(a, b *Run) int {
		return cmp.Or(a.Ordered.Compare(b.Ordered), strings.Compare(a.Host, b.Host))
	})
	var found []Overlap
	for i, first := range runs {
		for _, second := range runs[i+1:] {
			if first.Closed.After(second.Ordered) {
				found = append(found, Overlap{
					First:  *first,
					Second: *second,
				})
			}
		}
	}
	return found
}
