package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemarywalk/core/finding"
	"rosemarywalk/core/outline"
)

// Plan is an experiment, as described by its file.
type Plan struct {
	Name          string
	Hosts         int
	Domains       int
	Servers       int
	Slots         int
	Connections   int
	Loads         []float64 // offered loads, as shares of the servers' capacity
	Seeds         []uint64
	Duration      time.Duration // period in which jobs arrive, in each run
	TasksMin      int
	TasksMax      int
	RunMean       time.Duration
	RunMin        time.Duration
	RunMax        time.Duration
	Deadline      time.Duration // of each job; 0 for the hosts' default
	SingleHost    bool          // send all jobs to the first host
	PlatformDelay time.Duration // delay of each answer of the platform
	Faults        []Fault
	Variants      []Variant
}

// Variant is a set of host settings to compare with others.
type Variant struct {
	Name  string
	Lines []string // INI lines that are added to each host's settings
	Keyed bool     // jobs carry idempotency keys instead of tickets
}

// Fault is a fault to inject during each run.
type Fault struct {
	At     time.Duration
	Action string // such as "servers 0-4 fail"; see applyFault
}

// variantPrefix is the prefix of the name of a variant's section.
const variantPrefix = "variant "

// Parse parses an experiment's file. Keys that are not in it have default values.
func Parse(file string, raw []byte) (Plan, error) {
	plan := Plan{
		Name:        file,
		Hosts:       9,
		Domains:     4,
		Servers:     48,
		Slots:       8,
		Connections: 64,
		Loads:       []float64{0.8},
		Seeds:       []uint64{1},
		Duration:    30 * time.Second,
		TasksMin:    1,
		TasksMax:    200,
		RunMean:     300 * time.Millisecond,
		RunMin:      30 * time.Millisecond,
		RunMax:      6 * time.Second,
	}
	sections, findings := outline.Parse(file, raw)
	for _, s := range sections {
		if name, ok := strings.CutPrefix(s.Name, variantPrefix); ok {
			plan.Variants = append(plan.Variants, parseVariant(name, s))
			continue
		}
		for _, e := range s.Entries {
			if err := plan.setValue(e.Key, e.Value); err != nil {
				findings = append(findings, finding.Finding{
					File:    file,
					Line:    e.Line,
					Section: s.Name,
					Key:     e.Key,
					Text:    err.Error(),
				})
			}
		}
	}
	if len(plan.Variants) == 0 {
		plan.Variants = []Variant{{Name: "default"}}
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan, findings.Err()
}

// parseVariant converts keys such as dispatch.policy to lines of host settings.
func parseVariant(name string, s outline.Section) Variant {
	v := Variant{Name: name}
	for _, e := range s.Entries {
		if e.Key == "keyed" {
			v.Keyed = e.Value == "true"
			continue
		}
		section, key, _ := strings.Cut(e.Key, ".")
		v.Lines = append(v.Lines, "["+section+"]", key+" = "+e.Value)
	}
	return v
}

// WithVariant returns a copy of the plan with v as its only variant.
func (p Plan) WithVariant(v Variant) Plan {
	p.Variants = []Variant{v}
	return p
}

func (p *Plan) setValue(key, value string) error {
	var err error
	switch key {
	case "hosts":
		p.Hosts, err = strconv.Atoi(value)
	case "domains":
		p.Domains, err = strconv.Atoi(value)
	case "servers":
		p.Servers, err = strconv.Atoi(value)
	case "slots":
		p.Slots, err = strconv.Atoi(value)
	case "connections":
		p.Connections, err = strconv.Atoi(value)
	case "loads":
		p.Loads, err = parseNumbers(value)
	case "seeds":
		var seeds []float64
		seeds, err = parseNumbers(value)
		p.Seeds = nil
		for _, s := range seeds {
			p.Seeds = append(p.Seeds, uint64(s))
		}
	case "tasksmin":
		p.TasksMin, err = strconv.Atoi(value)
	case "tasksmax":
		p.TasksMax, err = strconv.Atoi(value)
	case "onehost":
		p.SingleHost, err = strconv.ParseBool(value)
	default:
		return p.setTimeValue(key, value)
	}
	return err
}

func (p *Plan) setTimeValue(key, value string) error {
	var err error
	switch key {
	case "duration":
		p.Duration, err = time.ParseDuration(value)
	case "runmean":
		p.RunMean, err = time.ParseDuration(value)
	case "runmin":
		p.RunMin, err = time.ParseDuration(value)
	case "runmax":
		p.RunMax, err = time.ParseDuration(value)
	case "delay":
		p.PlatformDelay, err = time.ParseDuration(value)
	case "deadline":
		p.Deadline, err = time.ParseDuration(value)
	case "faults":
		p.Faults, err = parseFaults(value)
	default:
		return fmt.Errorf("unknown key")
	}
	return err
}

func parseNumbers(value string) ([]float64, error) {
	var list []float64
	for item := range strings.SplitSeq(value, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(item), 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a number", item)
		}
		list = append(list, x)
	}
	return list, nil
}

// parseFaults parses a list such as "10s servers 0-4 fail, 20s servers 0-4 ok".
func parseFaults(value string) ([]Fault, error) {
	var list []Fault
	for item := range strings.SplitSeq(value, ",") {
		at, what, ok := strings.Cut(strings.TrimSpace(item), " ")
		d, err := time.ParseDuration(at)
		if !ok || err != nil {
			return nil, fmt.Errorf("%q is not a time followed by a fault", item)
		}
		list = append(list, Fault{
			At:     d,
			Action: what,
		})
	}
	return list, nil
}
