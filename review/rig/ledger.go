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
	labels []string // of the executor
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
	l.write("executor %s ends %s run %d: %s", t.server, t.task, t.run, how)
}

// startsOf returns the starts of a job's tasks.
func (l *ledger) startsOf(id string) []*taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*taskRun{}, l.starts[id]...)
}
