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

// Plan is an experiment as its file describes it.
type Plan struct {
	Name        string
	Hosts       int
	Domains     int
	Servers     int
	Slots       int
	Connections int
	Loads       []float64 // shares of capacity
	Seeds       []uint64
	Duration    time.Duration // of arrivals, in one run
	TasksMin    int
	TasksMax    int
	RunMean     time.Duration
	RunMin      time.Duration
	RunMax      time.Duration
	Deadline    time.Duration // of every job; 0 for the hosts' default
	OneHost     bool          // all jobs land on the first host
	Delay       time.Duration // that the platform takes for every answer
	Faults      []Fault
	Variants    []Variant
}

// Variant is one set of host settings to compare.
type Variant struct {
	Name  string
	Lines []string // INI lines, added to every host's settings
	Keyed bool     // jobs carry idempotency keys instead of tickets
}

// Fault is something that goes wrong during each run.
type Fault struct {
	At   time.Duration
	What string // for example "servers 0-4 fail"
}

// variantPrefix starts the name of a variant's section.
const variantPrefix = "variant "

// Parse reads an experiment's file.
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
			plan.Variants = append(plan.Variants, variantOf(name, s))
			continue
		}
		for _, e := range s.Entries {
			if err := plan.set(e.Key, e.Value); err != nil {
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

// variantOf turns keys such as dispatch.policy into settings lines.
func variantOf(name string, s outline.Section) Variant {
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

// WithVariant returns a copy with only one variant.
func (p Plan) WithVariant(v Variant) Plan {
	p.Variants = []Variant{v}
	return p
}

func (p *Plan) set(key, value string) error {
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
		p.Loads, err = numbers(value)
	case "seeds":
		var seeds []float64
		seeds, err = numbers(value)
		p.Seeds = nil
		for _, s := range seeds {
			p.Seeds = append(p.Seeds, uint64(s))
		}
	case "tasksmin":
		p.TasksMin, err = strconv.Atoi(value)
	case "tasksmax":
		p.TasksMax, err = strconv.Atoi(value)
	case "onehost":
		p.OneHost, err = strconv.ParseBool(value)
	default:
		return p.setTime(key, value)
	}
	return err
}

func (p *Plan) setTime(key, value string) error {
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
		p.Delay, err = time.ParseDuration(value)
	case "deadline":
		p.Deadline, err = time.ParseDuration(value)
	case "faults":
		p.Faults, err = faults(value)
	default:
		return fmt.Errorf("unknown key")
	}
	return err
}

func numbers(value string) ([]float64, error) {
	var list []float64
	for item := range strings.SplitSeq(value, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(item), 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no number", item)
		}
		list = append(list, x)
	}
	return list, nil
}

// faults reads a list such as "10s servers 0-4 fail, 20s servers 0-4 ok".
func faults(value string) ([]Fault, error) {
	var list []Fault
	for item := range strings.SplitSeq(value, ",") {
		at, what, ok := strings.Cut(strings.TrimSpace(item), " ")
		d, err := time.ParseDuration(at)
		if !ok || err != nil {
			return nil, fmt.Errorf("%q is no time and fault", item)
		}
		list = append(list, Fault{
			At:   d,
			What: what,
		})
	}
	return list, nil
}
