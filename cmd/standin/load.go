package main

import (
	"context"
	"fmt"
	"time"

	"rosemarywalk/standin/load"
)

// loadCmd generates open-loop load.
type loadCmd struct {
	Hosts    []string      `help:"Base URLs of hosts." default:"http://127.0.0.1:7000"`
	Service  string        `help:"Service to submit to." default:"valuation"`
	Rate     float64       `help:"Jobs per second." default:"10"`
	Duration time.Duration `help:"How long jobs arrive." default:"10s"`
	Jobs     int           `help:"Most jobs; 0 for no bound." default:"0"`
	Seed     uint64        `help:"Decides arrivals, sizes and run times." default:"1"`
	TasksMin int           `help:"Fewest tasks of a job." default:"1"`
	TasksMax int           `help:"Most tasks of a job." default:"200"`
	RunMean  time.Duration `help:"Mean run time of a task." default:"300ms"`
	RunMin   time.Duration `help:"Shortest run time." default:"30ms"`
	RunMax   time.Duration `help:"Longest run time." default:"6s"`
}

// Run submits the jobs and prints a summary.
func (c *loadCmd) Run() error {
	report, err := load.Run(context.Background(), load.Profile{
		Rate:     c.Rate,
		Duration: c.Duration,
		Jobs:     c.Jobs,
		Seed:     c.Seed,
		TasksMin: c.TasksMin,
		TasksMax: c.TasksMax,
		RunMean:  c.RunMean,
		RunMin:   c.RunMin,
		RunMax:   c.RunMax,
	}, c.Service, c.Hosts)
	if err != nil {
		return err
	}
	fmt.Printf("jobs %d, complete %d, failed %v, unknown %d, wrong %d, tasks %d\n",
		report.Jobs, report.Complete, report.Failed, report.Unknown, report.Mismatched, report.Tasks)
	fmt.Printf("slowdown mean %.3f p50 %.3f p99 %.3f p99.9 %.3f\n",
		report.MeanSlowdown(), report.SlowdownPercentile(50), report.SlowdownPercentile(99), report.SlowdownPercentile(99.9))
	return nil
}
