package document

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"rosemarywalk/core/finding"
	"rosemarywalk/core/outline"
)

// Section is one team's part of the document.
type Section struct {
	Team     string
	Line     int      // where it stands in the document, from 1
	Version  int      // the version that the operator edited; 0 when not named
	Services []string // owned by the team
	Workers  int      // planned workers
	Capacity int      // planned slots
	Quota    int      // tasks in the fleet at once; 0 for no limit
	Weight   float64  // share against other teams
	Active   time.Time
}

// The keys of a section.
const (
	keyVersion  = "version"
	keyServices = "services"
	keyWorkers  = "workers"
	keyCapacity = "capacity"
	keyQuota    = "quota"
	keyWeight   = "weight"
	keyActive   = "active"
)

const (
	countMost     = 10000000
	weightDefault = 1
	weightLeast   = 0.01
	weightMost    = 1000
	documentBytes = 4 << 20
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// parser reads one document and collects findings.
type parser struct {
	file     string
	findings finding.List
	owners   map[string]string // team by service
}

// Parse reads a document and reports all findings at once.
func Parse(file string, raw []byte) ([]Section, finding.List) {
	if len(raw) > documentBytes {
		return nil, finding.List{{
			File: file,
			Text: fmt.Sprintf("document of %d bytes is over %d bytes", len(raw), documentBytes),
		}}
	}
	outlined, findings := outline.Parse(file, raw)
	if len(findings) > 0 {
		return nil, findings
	}
	p := &parser{
		file:   file,
		owners: map[string]string{},
	}
	var sections []Section
	for _, s := range outlined {
		sections = append(sections, p.section(s))
	}
	return sections, p.findings.Sorted()
}

func (p *parser) add(s outline.Section, e outline.Entry, format string, args ...any) {
	line := e.Line
	if line == 0 {
		line = s.Line
	}
	p.findings = append(p.findings, finding.Finding{
		File:    p.file,
		Line:    line,
		Section: s.Name,
		Key:     e.Key,
		Text:    fmt.Sprintf(format, args...),
	})
}

func (p *parser) section(s outline.Section) Section {
	section := Section{
		Team:   s.Name,
		Line:   s.Line,
		Weight: weightDefault,
	}
	if !nameForm.MatchString(s.Name) {
		p.add(s, outline.Entry{}, "team name %q isn't made of a-z, 0-9 and -", s.Name)
	}
	for _, e := range s.Entries {
		p.entry(s, e, &section)
	}
	if _, ok := s.Find(keyServices); !ok {
		p.add(s, outline.Entry{Key: keyServices}, "is missing")
	}
	return section
}

func (p *parser) entry(s outline.Section, e outline.Entry, section *Section) {
	switch e.Key {
	case keyServices:
		section.Services = p.services(s, e)
	case keyVersion:
		section.Version = p.count(s, e)
	case keyWorkers:
		section.Workers = p.count(s, e)
	case keyCapacity:
		section.Capacity = p.count(s, e)
	case keyQuota:
		section.Quota = p.count(s, e)
	case keyWeight:
		section.Weight = p.weight(s, e)
	case keyActive:
		section.Active = p.date(s, e)
	default:
		p.add(s, e, "unknown key")
	}
}

func (p *parser) services(s outline.Section, e outline.Entry) []string {
	var services []string
	for name := range strings.SplitSeq(e.Value, ",") {
		name = strings.TrimSpace(name)
		switch owner, taken := p.owners[name]; {
		case !nameForm.MatchString(name):
			p.add(s, e, "service name %q isn't made of a-z, 0-9 and -", name)
		case taken:
			p.add(s, e, "service %s belongs to [%s]", name, owner)
		default:
			p.owners[name] = s.Name
			services = append(services, name)
		}
	}
	return services
}

func (p *parser) count(s outline.Section, e outline.Entry) int {
	n, err := strconv.Atoi(e.Value)
	if err != nil || n < 0 || n > countMost {
		p.add(s, e, "%q is no whole number from 0 to %d", e.Value, countMost)
	}
	return n
}

func (p *parser) weight(s outline.Section, e outline.Entry) float64 {
	w, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || !(w >= weightLeast && w <= weightMost) {
		p.add(s, e, "%q is no number from %g to %d", e.Value, weightLeast, weightMost)
	}
	return w
}

func (p *parser) date(s outline.Section, e outline.Entry) time.Time {
	t, err := time.Parse(time.RFC3339, e.Value)
	if err != nil {
		p.add(s, e, "%q is no date such as 2027-01-31T02:00:00Z", e.Value)
	}
	return t
}
