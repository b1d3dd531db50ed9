package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"rosemarywalk/core/timeline"
)

// runsCmd finds tasks in the logs of hosts that may have run twice at once.
type runsCmd struct {
	Logs  []string `arg:"" help:"One log for each host, as JSON lines: FILE, or NAME=FILE if the file isn't named after the host."`
	Job   string   `help:"Print the timeline of this job only."`
	Limit int      `default:"20" help:"How many jobs to print timelines of."`
}

// errOverlap is returned if a task may have run twice at once.
const errOverlap = errors.ConstError("tasks may have run twice at once")

// Run reads the logs, and again for the jobs to print, so that no other lines are kept.
func (c *runsCmd) Run() error { return c.print(os.Stdout) }

func (c *runsCmd) print(to io.Writer) error {
	logs, err := newHostLogs(c.Logs)
	if err != nil {
		return errors.WithType(err, errInput)
	}
	runs := timeline.NewRuns()
	if err := logs.read(func(l timeline.Line, _ []byte) { runs.Add(l) }); err != nil {
		return errors.WithType(err, errInput)
	}
	overlaps, counts := runs.Overlaps()
	if c.Job != "" {
		overlaps = slices.DeleteFunc(overlaps, func(o timeline.Overlap) bool { return o.First.Job != c.Job })
	}
	if c.Job == "" && counts.Orders == 0 {
		return errors.WithType(errors.Errorf("no orders in %d lines, %d of them unreadable; expected lines with msg \"run ordered\"", logs.lines, logs.broken), errInput)
	}
	fmt.Fprintf(to, "%d orders in %d lines, %d lines unreadable, %d orders without an end, %d ends without an order\n",
		counts.Orders, logs.lines, logs.broken, counts.NoEnd, counts.NoOrder)
	if err := logs.printJobs(to, c.jobs(overlaps), overlaps); err != nil {
		return err
	}
	if len(overlaps) > 0 {
		return errors.Annotatef(errOverlap, "%d pairs of runs", len(overlaps))
	}
	return nil
}

// jobs returns the jobs to print.
func (c *runsCmd) jobs(overlaps []timeline.Overlap) []string {
	if c.Job != "" {
		return []string{c.Job}
	}
	var jobs []string
	for _, o := range overlaps {
		if len(jobs) < c.Limit && !slices.Contains(jobs, o.First.Job) {
			jobs = append(jobs, o.First.Job)
		}
	}
	return jobs
}

// printJobs reads the logs again and prints jobs.
func (h *hostLogs) printJobs(to io.Writer, jobs []string, overlaps []timeline.Overlap) error {
	if len(jobs) == 0 {
		return nil
	}
	lines := timeline.NewTimelines(jobs...)
	if err := h.read(func(l timeline.Line, raw []byte) {
		if lines.Wants(l) {
			l.Text = text(raw)
		}
		lines.Add(l)
	}); err != nil {
		return errors.WithType(err, errInput)
	}
	for _, job := range jobs {
		if len(lines.Job(job)) == 0 {
			return errors.WithType(errors.Errorf("no lines about job %s", job), errInput)
		}
		if err := printJob(to, job, overlaps, lines); err != nil {
			return errors.Annotate(err, "print timeline")
		}
	}
	return nil
}

// printJob prints the overlaps of a job, and its timeline with lines of these tasks marked.
func printJob(to io.Writer, job string, overlaps []timeline.Overlap, lines *timeline.Timelines) error {
	fmt.Fprintf(to, "\njob %s\n", job)
	marks := map[string]string{}
	for _, o := range overlaps {
		if o.First.Job == job {
			marks[o.First.Task] = "*"
			fmt.Fprintf(to, "* task %s: %s and %s, at once for up to %s\n", o.First.Task, runText(o.First), runText(o.Second), o.Duration())
		}
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, l := range lines.Job(job) {
		if peers := lines.Peers(l); len(peers) > 0 {
			l.Text += " (" + strings.Join(peers, " or ") + ")"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.At.UTC().Format("2006-01-02T15:04:05.000000Z"), marks[l.Task], l.Host, l.Text)
	}
	return w.Flush()
}

func runText(r timeline.Run) string {
	return fmt.Sprintf("run %d of %s at %s (%s)", r.Number, r.Host, r.Server, cmp.Or(r.End, "no end logged"))
}

// hostLogs reads the logs of hosts.
type hostLogs struct {
	files  map[string]string // by host
	lines  int
	broken int // lines that are no JSON, or have no time
}

// newHostLogs returns the logs that arguments name.
func newHostLogs(args []string) (*hostLogs, error) {
	files := map[string]string{}
	for _, arg := range args {
		host, file, named := strings.Cut(arg, "=")
		if !named {
			host, file = strings.TrimSuffix(filepath.Base(arg), filepath.Ext(arg)), arg
		}
		if files[host] != "" {
			return nil, errors.Errorf("two logs of host %s; name hosts as NAME=FILE, and join the parts of a log in order", host)
		}
		files[host] = file
	}
	return &hostLogs{files: files}, nil
}

// read passes each line to add, with its bytes, which are valid until add returns.
func (h *hostLogs) read(add func(l timeline.Line, raw []byte)) error {
	h.lines, h.broken = 0, 0
	for _, host := range slices.Sorted(maps.Keys(h.files)) {
		file, err := os.Open(h.files[host])
		if err != nil {
			return errors.Annotate(err, "open log")
		}
		err = readLines(file, func(raw []byte, err error) {
			h.lines++
			if err == nil && len(bytes.TrimSpace(raw)) == 0 {
				return
			}
			l := timeline.Line{Host: host}
			if err != nil || !decodeLine(raw, &l) || l.At.IsZero() {
				h.broken++
				return
			}
			add(l, raw)
		})
		_ = file.Close()
		if err != nil {
			return errors.Annotatef(err, "read log %s", h.files[host])
		}
	}
	return nil
}

// text returns the message of a line and its fields that are not empty.
func text(raw []byte) string {
	var fields map[string]json.RawMessage
	if !decodeLine(raw, &fields) {
		return ""
	}
	message := unquote(fields["msg"])
	for _, known := range []string{"ts", "msg", "level", "caller", "logger", "job"} {
		delete(fields, known)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if value := unquote(fields[name]); value != "" {
			message += " " + name + "=" + value
		}
	}
	return message
}

func unquote(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	return string(value)
}
