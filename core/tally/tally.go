package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxPeriods is the number of periods beyond which their length is doubled.
	maxPeriods = 2048
	// maxNames is the number of distinct causes, kinds and failure domains that are
	// counted by themselves.
	maxNames = 128
	// otherName stands for all further names.
	otherName = "(other)"
)

// Counts holds the number of answers by cause.
type Counts map[string]int

// Total returns the number of answers.
func (c Counts) Total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// InTime returns the share of answers in time, from 0 to 1. It is 0 without answers.
func (c Counts) InTime() float64 { return float64(c[CauseInTime]) / float64(max(1, c.Total())) }

// Group is the answers of one kind of job or one failure domain.
type Group struct {
	Name   string
	Counts Counts
}

// Period is the answers of a period that starts at Start.
type Period struct {
	Start  time.Time
	Counts Counts
}

// Tally counts answers. Its memory is bounded, regardless of their number and times.
type Tally struct {
	all     Counts
	routes  map[string]Counts
	domains map[string]Counts
	periods map[int64]Counts // by Unix time divided by length
	length  time.Duration
}

// New returns an empty tally with periods of a second.
func New() *Tally {
	return &Tally{
		all:     Counts{},
		routes:  map[string]Counts{},
		domains: map[string]Counts{},
		periods: map[int64]Counts{},
		length:  time.Second,
	}
}

// Add counts an answer.
func (t *Tally) Add(a Answer) {
	cause := bounded(t.all, a.Cause())
	t.all[cause]++
	count(t.routes, a.Route, cause)
	count(t.domains, a.Domain, cause)
	index := a.At.UnixNano() / int64(t.length)
	if t.periods[index] == nil {
		t.periods[index] = Counts{}
	}
	t.periods[index][cause]++
	for len(t.periods) > maxPeriods {
		t.widen()
	}
}

// bounded returns a name, or otherName if it is new and there are too many already.
func bounded[V any](known map[string]V, name string) string {
	if _, ok := known[name]; !ok && len(known) >= maxNames {
		return otherName
	}
	return name
}

func count(groups map[string]Counts, name, cause string) {
	name = bounded(groups, name)
	if groups[name] == nil {
		groups[name] = Counts{}
	}
	groups[name][cause]++
}

// widen doubles the length of the periods.
func (t *Tally) widen() {
	const factor = 2
	t.length *= factor
	wide := map[int64]Counts{}
	for index, counts := range t.periods {
		index /= factor
		if wide[index] == nil {
			wide[index] = Counts{}
		}
		for cause, n := range counts {
			wide[index][cause] += n
		}
	}
	t.periods = wide
}

// Length returns the length of a period: a second, or more if the answers span too many.
func (t *Tally) Length() time.Duration { return t.length }

// All returns the counts of all answers. The caller must not modify them.
func (t *Tally) All() Counts { return t.all }

// Causes returns the causes that occurred, the most frequent first.
func (t *Tally) Causes() []string {
	return slices.SortedFunc(maps.Keys(t.all), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.all[b], t.all[a]), cmp.Compare(a, b))
	})
}

// Routes returns the answers by kind of job, the one with the most answers that were not
// in time first.
func (t *Tally) Routes() []Group { return sorted(t.routes) }

// Domains returns the answers by failure domain, in the order of Routes.
func (t *Tally) Domains() []Group { return sorted(t.domains) }

func sorted(groups map[string]Counts) []Group {
	var all []Group
	for name, counts := range groups {
		all = append(all, Group{
			Name:   name,
			Counts: counts,
		})
	}
	missed := func(g Group) int { return g.Counts.Total() - g.Counts[CauseInTime] }
	slices.SortFunc(all, func(a, b Group) int {
		return cmp.Or(cmp.Compare(missed(b), missed(a)), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Periods returns the periods with answers, in order of time.
func (t *Tally) Periods() []Period {
	var all []Period
	for _, index := range slices.Sorted(maps.Keys(t.periods)) {
		all = append(all, Period{
			Start:  time.Unix(0, index*int64(t.length)).UTC(),
			Counts: t.periods[index],
		})
	}
	return all
}
