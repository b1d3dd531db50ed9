package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/standin/load"
)

// Result is one run: a variant at a load with a seed.
type Result struct {
	Variant    string
	Load       float64
	Seed       uint64
	Report     *load.Report
	Throughput float64            // tasks per second
	Wasted     map[string]float64 // messages without useful work, by kind
	Processor  float64            // cores, of one host
	Memory     float64            // MB, of one host
	LinkBytes  float64            // bytes per second of one host on peer links, but for calls and replies
	StoreRead  float64            // platform reads per second, of all hosts
	StoreWrite float64            // platform writes per second, of all hosts
	Done       float64            // work of complete jobs, as a share of capacity
	Starts     int
	Twice      int // tasks that started more than once
}

// controlBytes are the series of bytes on peer links that carry no work.
var controlBytes = map[string]bool{
	"rosemarywalk_link_bytes_total/beat": true,
	"rosemarywalk_link_bytes_total/pull": true,
	"rosemarywalk_link_bytes_total/rows": true,
}

// kinds are the wasted messages told apart, in the order of the table.
var kinds = []string{"heartbeat", "listpoll", "feedpoll", "pull", "tickets", "retry", "refusal"}

// WastedPerTask returns all wasted messages over the tasks started.
func (r Result) WastedPerTask() float64 {
	sum := 0.0
	for _, n := range r.Wasted {
		sum += n
	}
	return sum / float64(max(1, r.Starts))
}

// Run carries out a plan: for each seed and load every variant in turn, so
// that what drifts on the machine meets all variants alike.
func Run(ctx context.Context, plan Plan, binary string, progress io.Writer) ([]Result, error) {
	var results []Result
	for _, seed := range plan.Seeds {
		for _, at := range plan.Loads {
			for _, variant := range plan.Variants {
				result, err := one(ctx, plan.WithVariant(variant), binary, at, seed)
				if err != nil {
					return results, errors.Annotatef(err, "%s at %g, seed %d", variant.Name, at, seed)
				}
				results = append(results, result)
				fmt.Fprintln(progress, line(result))
			}
		}
	}
	return results, nil
}

func one(ctx context.Context, plan Plan, binary string, at float64, seed uint64) (Result, error) {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return Result{}, errors.Annotate(err, "make a directory for settings")
	}
	defer os.RemoveAll(dir)
	f, err := startFleet(ctx, plan, binary, dir)
	defer f.stop()
	if err != nil {
		return Result{}, err
	}
	before := f.metrics()
	used, begin, store := f.usages(), time.Now(), f.platform.Counts()
	stopFaults := f.inject(ctx)
	defer stopFaults()
	report, err := load.Run(ctx, plan.profile(at, seed), service, plan.targets(f.callers))
	if err != nil {
		return Result{}, err
	}
	grown := difference(before, f.metrics())
	took := time.Since(begin)
	result := f.result(at, seed, report, grown, used, took)
	counts := f.platform.Counts()
	result.StoreRead = float64(counts.Reads-store.Reads) / took.Seconds()
	result.StoreWrite = float64(counts.Writes-store.Writes) / took.Seconds()
	return result, nil
}

func (p Plan) targets(callers []string) []string {
	if p.OneHost {
		return callers[:1]
	}
	return callers
}

// profile is the jobs that make up a share of capacity.
func (p Plan) profile(at float64, seed uint64) load.Profile {
	profile := load.Profile{
		Duration: p.Duration,
		Seed:     seed,
		TasksMin: p.TasksMin,
		TasksMax: p.TasksMax,
		RunMean:  p.RunMean,
		RunMin:   p.RunMin,
		RunMax:   p.RunMax,
		Deadline: p.Deadline,
		Keyed:    p.Variants[0].Keyed,
	}
	slots := float64(p.Servers * p.Slots)
	profile.Rate = at * slots / profile.MeanRun().Seconds() / profile.MeanTasks()
	return profile
}

func (f *fleet) result(at float64, seed uint64, report *load.Report, grown map[string]float64, used usage, took time.Duration) Result {
	r := Result{
		Variant:    f.plan.Variants[0].Name,
		Load:       at,
		Seed:       seed,
		Report:     report,
		Throughput: grown["rosemarywalk_starts_total"] / took.Seconds(),
		Wasted:     map[string]float64{},
	}
	r.Done = report.TotalRunTime.Seconds() / took.Seconds() / float64(f.plan.Servers*f.plan.Slots)
	for series, n := range grown {
		switch {
		case strings.HasPrefix(series, "rosemarywalk_messages_total/"):
			r.Wasted[strings.TrimPrefix(series, "rosemarywalk_messages_total/")] += n
		case controlBytes[series]:
			r.LinkBytes += n / took.Seconds() / float64(f.plan.Hosts)
		case strings.HasPrefix(series, "rosemarywalk_retries_total/"):
			r.Wasted["retry"] += n
		case strings.HasPrefix(series, "rosemarywalk_refusals_total/"):
			r.Wasted["refusal"] += n
		}
	}
	now := f.usages()
	r.Processor = (now.cpu - used.cpu).Seconds() / took.Seconds() / float64(f.plan.Hosts)
	r.Memory = float64(now.memory) / float64(f.plan.Hosts) / (1 << 20)
	for _, s := range f.servers {
		starts := s.Starts()
		r.Starts += starts.Total
		r.Twice += starts.Twice
	}
	return r
}

func line(r Result) string {
	return fmt.Sprintf("%s load %.2f seed %d: mean %.3f p99 %.2f wasted %.3f jobs %d failed %v unknown %d wrong %d twice %d",
		r.Variant, r.Load, r.Seed, r.Report.Mean(), r.Report.Quantile(99), r.WastedPerTask(),
		r.Report.Jobs, r.Report.Failed, r.Report.Unknown, r.Report.Wrong, r.Twice)
}

// Table prints the results, one a line.
func Table(w io.Writer, results []Result) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "variant\tload\tseed\tmean\tp50\tp99\tp99.9\ttasks/s\twasted\t")
	for _, kind := range kinds {
		fmt.Fprint(out, kind, "\t")
	}
	fmt.Fprintln(out, "done\tcores\tMB\tB/s\treads/s\twrites/s\tjobs\tfailed\tafter ms\ttwice\t")
	for _, r := range results {
		fmt.Fprintf(out, "%s\t%.2f\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%.3f\t", r.Variant, r.Load, r.Seed, r.Report.Mean(),
			r.Report.Quantile(50), r.Report.Quantile(99), r.Report.Quantile(99.9), r.Throughput, r.WastedPerTask())
		for _, kind := range kinds {
			fmt.Fprintf(out, "%.4f\t", r.Wasted[kind]/float64(max(1, r.Starts)))
		}
		fmt.Fprintf(out, "%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.1f\t", r.Done, r.Processor, r.Memory, r.LinkBytes, r.StoreRead, r.StoreWrite)
		fmt.Fprintf(out, "%d\t%d\t%.0f\t%d\t\n", r.Report.Jobs, r.Report.Jobs-r.Report.Complete, r.Report.RefusalMillis.Mean(), r.Twice)
	}
	return errors.Annotate(out.Flush(), "print table")
}
