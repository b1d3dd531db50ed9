package main

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"rosemarywalk/core/tally"
)

// reportCmd tallies the answers in the logs of hosts.
type reportCmd struct {
	Logs []string `arg:"" help:"Logs of any number of hosts, as JSON lines; - for standard input."`
	CSV  string   `name:"csv" help:"File for the counts of each period, or - for standard output instead of the tables."`
	Plot string   `help:"File for a plot of the answers that were not in time, by period; its ending gives the format (.png, .svg, .pdf)."`
}

// Run prints what callers got, by cause, kind of job, failure domain and time.
func (c *reportCmd) Run() error {
	logs := newLogReader()
	for _, name := range c.Logs {
		if err := logs.readFile(name); err != nil {
			return errors.WithType(err, errInput)
		}
	}
	if logs.tally.All().Total() == 0 {
		return errors.WithType(errors.Errorf("no answers in %d lines, %d of them unreadable; expected lines with msg \"answer\"", logs.lines, logs.broken), errInput)
	}
	if c.Plot != "" {
		if err := plotMissed(c.Plot, logs.tally); err != nil {
			return errors.WithType(err, errInput)
		}
	}
	switch c.CSV {
	case "":
		return logs.print(os.Stdout)
	case "-":
		return writeCSV(os.Stdout, logs.tally)
	}
	file, err := os.Create(c.CSV)
	if err != nil {
		return errors.WithType(errors.Annotate(err, "create CSV file"), errInput)
	}
	if err := writeCSV(file, logs.tally); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Annotate(file.Close(), "write CSV file")
}

// logReader tallies the answers of logs that it reads line by line.
type logReader struct {
	tally  *tally.Tally
	lines  int
	broken int // lines that are no JSON, or answers without their fields
}

func newLogReader() *logReader { return &logReader{tally: tally.New()} }

func (l *logReader) readFile(name string) error {
	if name == "-" {
		return errors.Annotate(l.read(os.Stdin), "read standard input")
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Annotate(err, "open log")
	}
	defer file.Close()
	return errors.Annotatef(l.read(file), "read log %s", name)
}

func (l *logReader) read(from io.Reader) error {
	return readLines(from, func(line []byte, err error) {
		l.lines++
		if err != nil {
			l.broken++
			return
		}
		l.add(line)
	})
}

// answerLine is the log line of an answer; durations have the format of time.Duration.
type answerLine struct {
	Time      time.Time `json:"ts"`
	Message   string    `json:"msg"`
	Route     string    `json:"route"`
	Domain    string    `json:"domain"`
	State     string    `json:"state"`
	Reason    string    `json:"reason"`
	Age       string    `json:"age"`
	Objective string    `json:"objective"`
}

// add tallies one line.
func (l *logReader) add(line []byte) {
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	var a answerLine
	if !decodeLine(line, &a) {
		l.broken++
		return
	}
	if a.Message != "answer" {
		return
	}
	age, err := time.ParseDuration(a.Age)
	if err != nil || a.Time.IsZero() || a.State == "" {
		l.broken++
		return
	}
	// Hosts of earlier versions don't log the objective.
	objective, _ := time.ParseDuration(a.Objective)
	l.tally.Add(tally.Answer{
		At:        a.Time,
		Route:     a.Route,
		Domain:    a.Domain,
		State:     a.State,
		Reason:    a.Reason,
		Age:       age,
		Objective: objective,
	})
}

// print writes the tables.
func (l *logReader) print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	all, causes := l.tally.All(), l.tally.Causes()
	fmt.Fprintf(w, "%d answers in %d lines, %d lines unreadable\n\n", all.Total(), l.lines, l.broken)
	fmt.Fprintln(w, "cause\tanswers\tshare")
	for _, cause := range causes {
		fmt.Fprintf(w, "%s\t%d\t%.4f\n", cause, all[cause], float64(all[cause])/float64(all.Total()))
	}
	printGroups(w, "kind", l.tally.Routes(), causes)
	printGroups(w, "failure domain", l.tally.Domains(), causes)
	fmt.Fprintf(w, "\nperiods of %s with an answer that was not in time\n", l.tally.Length())
	fmt.Fprintln(w, "from\tanswers\tin time\tothers")
	for _, p := range l.tally.Periods() {
		if p.Counts[tally.CauseInTime] == p.Counts.Total() {
			continue
		}
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\n", p.Start.Format(time.RFC3339), p.Counts.Total(), p.Counts.InTime(), others(p.Counts, causes))
	}
	return errors.Annotate(w.Flush(), "print report")
}

func printGroups(w io.Writer, title string, groups []tally.Group, causes []string) {
	fmt.Fprintf(w, "\n%s\tanswers\tin time\tothers\n", title)
	for _, g := range groups {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\n", g.Name, g.Counts.Total(), g.Counts.InTime(), others(g.Counts, causes))
	}
}

// others lists the counts of answers that were not in time.
func others(counts tally.Counts, causes []string) string {
	text := ""
	for _, cause := range causes {
		if cause == tally.CauseInTime || counts[cause] == 0 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", cause, counts[cause])
	}
	return text
}

// writeCSV writes one row for each period, with one column for each cause.
func writeCSV(to io.Writer, t *tally.Tally) error {
	w := csv.NewWriter(to)
	causes := t.Causes()
	_ = w.Write(append([]string{"from", "seconds"}, causes...))
	for _, p := range t.Periods() {
		row := []string{p.Start.Format(time.RFC3339), strconv.FormatFloat(t.Length().Seconds(), 'f', -1, 64)}
		for _, cause := range causes {
			row = append(row, strconv.Itoa(p.Counts[cause]))
		}
		_ = w.Write(row)
	}
	w.Flush()
	return errors.Annotate(w.Error(), "write CSV")
}

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	// maxPlotLines is how many causes are drawn, the most frequent first.
	maxPlotLines = 7
)

// plotMissed draws the answers of each period that were not in time, a line a cause.
func plotMissed(file string, t *tally.Tally) error {
	p := plot.New()
	p.Title.Text = "Answers that were not in time"
	p.X.Label.Text = "time"
	p.X.Tick.Marker = plot.TimeTicks{Format: time.TimeOnly}
	p.Y.Label.Text = "answers in " + t.Length().String()
	p.Legend.Top = true
	causes := slices.DeleteFunc(t.Causes(), func(cause string) bool { return cause == tally.CauseInTime })
	var lines []any
	for _, cause := range causes[:min(len(causes), maxPlotLines)] {
		var points plotter.XYs
		for _, period := range t.Periods() {
			points = append(points, plotter.XY{
				X: float64(period.Start.Unix()),
				Y: float64(period.Counts[cause]),
			})
		}
		lines = append(lines, cause, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Annotate(err, "plot answers")
	}
	return errors.Annotate(p.Save(plotWidth, plotHeight, file), "save plot")
}
