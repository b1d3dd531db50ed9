package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// taskRun is a run that an executor began.
type taskRun struct {
	server string
	task   string
	run    int
	size   int
	from   string // IP address of the host that ordered it
	began  time.Time
	ended  time.Time // zero while it runs
	labels []string  // of the executor
}

// ledger records what was sent, answered and run, and the broken rules.
type ledger struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	starts map[string][]*taskRun // by job
	broken int
}

func newLedger(path string) (*ledger, error) {
	file, err := os.Create(path)
	return &ledger{
		began:  time.Now(),
		file:   file,
		starts: map[string][]*taskRun{},
	}, err
}

func (l *ledger) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(format, args...)
}

func (l *ledger) write(format string, args ...any) {
	_, _ = fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records a broken rule.
func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
	l.write("BROKEN "+format, args...)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (l *ledger) started(t *taskRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := jobOf(t.task)
	l.starts[id] = append(l.starts[id], t)
	l.write("executor %s starts %s run %d, ordered by %s", t.server, t.task, t.run, t.from)
}

func (l *ledger) end(t *taskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.ended = time.Now()
	l.write("executor %s ends %s run %d: %s", t.server, t.task, t.run, how)
}

// startsOf returns the starts of a job's tasks.
func (l *ledger) startsOf(id string) []*taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*taskRun{}, l.starts[id]...)
}

// overlaps returns the time for which two runs of one task of a job went on together, and the runs.
func (l *ledger) overlaps(id string) (longest time.Duration, a, b *taskRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.starts[id] {
		for _, y := range l.starts[id][i+1:] {
			if x.task != y.task {
				continue
			}
			both := minTime(x.ended, y.ended).Sub(y.began)
			if both > longest {
				longest, a, b = both, x, y
			}
		}
	}
	return longest, a, b
}

// minTime returns the earlier time, where zero is the present.
func minTime(a, b time.Time) time.Time {
	if a.IsZero() {
		a = time.Now()
	}
	if b.IsZero() {
		b = time.Now()
	}
	if a.Before(b) {
		return a
	}
	return b
}
