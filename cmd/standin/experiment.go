package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"strconv"

	"github.com/juju/errors"

	"rosemarywalk/standin/experiment"
)

// experimentCmd runs an experiment defined in an INI file.
type experimentCmd struct {
	File   string `arg:"" help:"INI file of the experiment." type:"existingfile"`
	Binary string `help:"The rosemarywalk program." required:"" type:"existingfile"`
	CSV    string `help:"File to write the results to as CSV."`
	Plot   string `help:"File to draw the results in, as PNG or SVG."`
}

// Run runs the experiment, prints a table, and writes the CSV file and the plot if
// requested.
func (c *experimentCmd) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Annotate(err, "read experiment")
	}
	plan, err := experiment.Parse(c.File, raw)
	if err != nil {
		return err
	}
	results, err := experiment.Run(context.Background(), plan, c.Binary, os.Stderr)
	if err != nil {
		return err
	}
	if err := experiment.Table(os.Stdout, results); err != nil {
		return err
	}
	if c.CSV != "" {
		if err := writeCSV(c.CSV, results); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return experiment.Plot(c.Plot, results)
	}
	return nil
}

func writeCSV(name string, results []experiment.Result) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Annotate(err, "write CSV")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.Write([]string{"variant", "load", "seed", "mean", "p50", "p99", "p999", "tasks_s", "wasted"})
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	for _, r := range results {
		_ = w.Write([]string{
			r.Variant, number(r.Load), fmt.Sprint(r.Seed), number(r.Report.MeanSlowdown()), number(r.Report.SlowdownPercentile(50)),
			number(r.Report.SlowdownPercentile(99)), number(r.Report.SlowdownPercentile(99.9)), number(r.Throughput), number(r.WastedPerTask()),
		})
	}
	w.Flush()
	return errors.Annotate(w.Error(), "write CSV")
}
