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

// Result is the result of one run of a variant, at one load and with one seed.
type Result struct {
	Variant                 string
	Load                    float64
	Seed                    uint64
	Report                  *load.Report
	Throughput              float64            // tasks per second
	Wasted                  map[string]float64 // messages without useful work, by kind
	CoresPerHost            float64            // CPU cores in use, mean of all hosts
	MemoryMBPerHost         float64            // resident memory, mean of all hosts
	ControlBytesPerSecond   float64            // bytes on peer links other than calls and replies, mean of all hosts
	PlatformReadsPerSecond  float64            // by all hosts together
	PlatformWritesPerSecond float64            // by all hosts together
	CompletedShare          float64            // run time of complete jobs' tasks, as a share of capacity
	TotalStarts             int
	RepeatedStarts          int // tasks that started more than once
}

// controlSeries are the metrics of bytes on peer links that carry neither calls
// nor replies.
var controlSeries = map[string]bool{
	"rosemarywalk_link_bytes_total/beat": true,
	"rosemarywalk_link_bytes_total/pull": true,
	"rosemarywalk_link_bytes_total/rows": true,
}

// wastedKinds are the kinds of wasted messages in the table, in column order.
var wastedKinds = []string{"heartbeat", "listpoll", "feedpoll", "pull", "tickets", "retry", "refusal"}

// WastedPerTask returns the number of wasted messages per started task.
func (r Result) WastedPerTask() float64 {
	sum := 0.0
	for _, n := range r.Wasted {
		sum += n
	}
	return sum / float64(max(1, r.TotalStarts))
}

// Run runs a plan. For each seed and load it runs all variants in turn, so that
// slow changes in the machine's performance affect all variants alike.
func Run(ctx context.Context, plan Plan, binary string, progress io.Writer) ([]Result, error) {
	var results []Result
	for _, seed := range plan.Seeds {
		for _, offeredLoad := range plan.Loads {
			for _, variant := range plan.Variants {
				result, err := runOne(ctx, plan.WithVariant(variant), binary, offeredLoad, seed)
				if err != nil {
					return results, errors.Annotatef(err, "%s at %g, seed %d", variant.Name, offeredLoad, seed)
				}
				results = append(results, result)
				fmt.Fprintln(progress, summaryLine(result))
			}
		}
	}
	return results, nil
}

func runOne(ctx context.Context, plan Plan, binary string, offeredLoad float64, seed uint64) (Result, error) {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return Result{}, errors.Annotate(err, "create directory for host settings")
	}
	defer os.RemoveAll(dir)
	f, err := startFleet(ctx, plan, binary, dir)
	defer f.stop()
	if err != nil {
		return Result{}, err
	}
	metricsBefore := f.scrapeHosts()
	usageBefore, begin, countsBefore := f.totalUsage(), time.Now(), f.platform.Counts()
	stopFaults := f.injectFaults(ctx)
	defer stopFaults()
	report, err := load.Run(ctx, plan.loadProfile(offeredLoad, seed), serviceName, plan.targetURLs(f.callerURLs))
	if err != nil {
		return Result{}, err
	}
	increases := sumIncreases(metricsBefore, f.scrapeHosts())
	elapsed := time.Since(begin)
	result := f.newResult(offeredLoad, seed, report, increases, usageBefore, elapsed)
	countsAfter := f.platform.Counts()
	result.PlatformReadsPerSecond = float64(countsAfter.Reads-countsBefore.Reads) / elapsed.Seconds()
	result.PlatformWritesPerSecond = float64(countsAfter.Writes-countsBefore.Writes) / elapsed.Seconds()
	return result, nil
}

func (p Plan) targetURLs(callers []string) []string {
	if p.SingleHost {
		return callers[:1]
	}
	return callers
}

// loadProfile returns the load profile that offers a share of the servers'
// capacity.
func (p Plan) loadProfile(offeredLoad float64, seed uint64) load.Profile {
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
	profile.Rate = offeredLoad * slots / profile.MeanRun().Seconds() / profile.MeanTasks()
	return profile
}

func (f *fleet) newResult(offeredLoad float64, seed uint64, report *load.Report, increases map[string]float64, usageBefore processUsage, elapsed time.Duration) Result {
	r := Result{
		Variant:    f.plan.Variants[0].Name,
		Load:       offeredLoad,
		Seed:       seed,
		Report:     report,
		Throughput: increases["rosemarywalk_starts_total"] / elapsed.Seconds(),
		Wasted:     map[string]float64{},
	}
	r.CompletedShare = report.TotalRunTime.Seconds() / elapsed.Seconds() / float64(f.plan.Servers*f.plan.Slots)
	for series, n := range increases {
		switch {
		case strings.HasPrefix(series, "rosemarywalk_messages_total/"):
			r.Wasted[strings.TrimPrefix(series, "rosemarywalk_messages_total/")] += n
		case controlSeries[series]:
			r.ControlBytesPerSecond += n / elapsed.Seconds() / float64(f.plan.Hosts)
		case strings.HasPrefix(series, "rosemarywalk_retries_total/"):
			r.Wasted["retry"] += n
		case strings.HasPrefix(series, "rosemarywalk_refusals_total/"):
			r.Wasted["refusal"] += n
		}
	}
	usageAfter := f.totalUsage()
	r.CoresPerHost = (usageAfter.cpuTime - usageBefore.cpuTime).Seconds() / elapsed.Seconds() / float64(f.plan.Hosts)
	r.MemoryMBPerHost = float64(usageAfter.memoryBytes) / float64(f.plan.Hosts) / (1 << 20)
	for _, s := range f.servers {
		starts := s.Starts()
		r.TotalStarts += starts.Total
		r.RepeatedStarts += starts.RepeatedStarts
	}
	return r
}

func summaryLine(r Result) string {
	return fmt.Sprintf("%s load %.2f seed %d: mean %.3f p99 %.2f wasted %.3f jobs %d failed %v unknown %d wrong %d twice %d",
		r.Variant, r.Load, r.Seed, r.Report.MeanSlowdown(), r.Report.SlowdownPercentile(99), r.WastedPerTask(),
		r.Report.Jobs, r.Report.Failed, r.Report.Unknown, r.Report.Mismatched, r.RepeatedStarts)
}

// Table prints the results as a table, with one line for each.
func Table(w io.Writer, results []Result) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "variant\tload\tseed\tmean\tp50\tp99\tp99.9\ttasks/s\twasted\t")
	for _, kind := range wastedKinds {
		fmt.Fprint(out, kind, "\t")
	}
	fmt.Fprintln(out, "done\tcores\tMB\tB/s\treads/s\twrites/s\tjobs\tfailed\tafter ms\ttwice\t")
	for _, r := range results {
		fmt.Fprintf(out, "%s\t%.2f\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.0f\t%.3f\t", r.Variant, r.Load, r.Seed, r.Report.MeanSlowdown(),
			r.Report.SlowdownPercentile(50), r.Report.SlowdownPercentile(99), r.Report.SlowdownPercentile(99.9), r.Throughput, r.WastedPerTask())
		for _, kind := range wastedKinds {
			fmt.Fprintf(out, "%.4f\t", r.Wasted[kind]/float64(max(1, r.TotalStarts)))
		}
		fmt.Fprintf(out, "%.3f\t%.3f\t%.0f\t%.0f\t%.1f\t%.1f\t", r.CompletedShare, r.CoresPerHost, r.MemoryMBPerHost, r.ControlBytesPerSecond, r.PlatformReadsPerSecond, r.PlatformWritesPerSecond)
		fmt.Fprintf(out, "%d\t%d\t%.0f\t%d\t\n", r.Report.Jobs, r.Report.Jobs-r.Report.Complete, r.Report.RefusalMillis.Mean(), r.RepeatedStarts)
	}
	return errors.Annotate(out.Flush(), "print table")
}
