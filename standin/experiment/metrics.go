package experiment

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// scrapeHosts returns each host's metrics by series. A series with one label is
// called name/value. A host that doesn't answer has a nil map.
func (f *fleet) scrapeHosts() []map[string]float64 {
	list := make([]map[string]float64, 0, len(f.operatorURLs))
	for _, base := range f.operatorURLs {
		series := map[string]float64{}
		if err := scrape(base+"/metrics", series); err != nil {
			series = nil
		}
		list = append(list, series)
	}
	return list
}

// sumSeries returns the sum of one series over all hosts.
func sumSeries(list []map[string]float64, series string) float64 {
	total := 0.0
	for _, host := range list {
		total += host[series]
	}
	return total
}

// sumIncreases returns the increase of each series, summed over the hosts that
// answered the second scrape. A host that didn't answer the first one counts from
// zero.
func sumIncreases(before, after []map[string]float64) map[string]float64 {
	increases := map[string]float64{}
	for i, host := range after {
		for series, value := range host {
			increases[series] += value - before[i][series]
		}
	}
	return increases
}

func scrape(url string, series map[string]float64) error {
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Get(url)
	if err != nil {
		return errors.Annotate(err, "read metrics")
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return errors.Annotate(err, "read metrics")
	}
	for name, family := range families {
		for _, m := range family.Metric {
			key := name
			if len(m.Label) == 1 {
				key += "/" + m.Label[0].GetValue()
			}
			series[key] += metricValue(m)
		}
	}
	return nil
}

func metricValue(m *dto.Metric) float64 {
	switch {
	case m.Counter != nil:
		return m.Counter.GetValue()
	case m.Gauge != nil:
		return m.Gauge.GetValue()
	}
	return 0
}

// processUsage is the CPU time and the memory that a process uses.
type processUsage struct {
	cpuTime     time.Duration
	memoryBytes int // resident set size
}

// ticksPerSecond is the number of clock ticks per second of CPU times in /proc.
const ticksPerSecond = 100

// readUsage reads a process's usage from /proc. What can't be read stays zero.
func readUsage(pid int) processUsage {
	var u processUsage
	base := "/proc/" + strconv.Itoa(pid)
	if raw, err := os.ReadFile(base + "/stat"); err == nil {
		// Skips past the command name, which may contain spaces.
		fields := strings.Fields(string(raw[strings.LastIndex(string(raw), ")")+1:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		u.cpuTime = time.Duration(user+system) * time.Second / ticksPerSecond
	}
	if raw, err := os.ReadFile(base + "/statm"); err == nil {
		pages, _ := strconv.Atoi(strings.Fields(string(raw))[1])
		u.memoryBytes = pages * os.Getpagesize()
	}
	return u
}

// totalUsage returns the sum of the usage of all host processes.
func (f *fleet) totalUsage() processUsage {
	var sum processUsage
	for _, p := range f.processes {
		u := readUsage(p.Process.Pid)
		sum.cpuTime += u.cpuTime
		sum.memoryBytes += u.memoryBytes
	}
	return sum
}
