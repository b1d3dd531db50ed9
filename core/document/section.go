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

// Section is the configuration of one team in the document.
type Section struct {
	Team     string
	Line     int      // line in the document, 1-based
	Version  int      // version that the operator edited; 0 if not given
	Services []string // owned by the team
	Workers  int      // planned number of workers
	Capacity int      // planned number of slots
	Quota    int      // maximum concurrent tasks across the fleet; 0 means no limit
	Weight   float64  // relative share among teams
	Active   time.Time
}

// Keys of a section.
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
	maxCount         = 10000000
	defaultWeight    = 1
	minWeight        = 0.01
	maxWeight        = 1000
	maxDocumentBytes = 4 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// parser parses a document and collects its findings.
type parser struct {
	file          string
	findings      finding.List
	teamByService map[string]string
}

// Parse parses a document. Findings in keys and values are all reported together.
func Parse(file string, raw []byte) ([]Section, finding.List) {
	if len(raw) > maxDocumentBytes {
		return nil, finding.List{{
			File: file,
			Text: fmt.Sprintf("document of %d bytes exceeds the limit of %d bytes", len(raw), maxDocumentBytes),
		}}
	}
	parsed, findings := outline.Parse(file, raw)
	if len(findings) > 0 {
		return nil, findings
	}
	p := &parser{
		file:          file,
		teamByService: map[string]string{},
	}
	var sections []Section
	for _, s := range parsed {
		sections = append(sections, p.section(s))
	}
	return sections, p.findings.Sorted()
}

func (p *parser) addFinding(s outline.Section, e outline.Entry, format string, args ...any) {
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
		Weight: defaultWeight,
	}
	if !namePattern.MatchString(s.Name) {
		p.addFinding(s, outline.Entry{}, "invalid team name %q: must be 1 to 63 characters from a-z, 0-9 and -, and not start with -", s.Name)
	}
	for _, e := range s.Entries {
		p.entry(s, e, &section)
	}
	if _, ok := s.Find(keyServices); !ok {
		p.addFinding(s, outline.Entry{Key: keyServices}, "required key is missing")
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
		section.Active = p.timestamp(s, e)
	default:
		p.addFinding(s, e, "unknown key")
	}
}

func (p *parser) services(s outline.Section, e outline.Entry) []string {
	var services []string
	for name := range strings.SplitSeq(e.Value, ",") {
		name = strings.TrimSpace(name)
		switch owner, taken := p.teamByService[name]; {
		case !namePattern.MatchString(name):
			p.addFinding(s, e, "invalid service name %q: must be 1 to 63 characters from a-z, 0-9 and -, and not start with -", name)
		case taken:
			p.addFinding(s, e, "service %s is already listed in section [%s]", name, owner)
		default:
			p.teamByService[name] = s.Name
			services = append(services, name)
		}
	}
	return services
}

func (p *parser) count(s outline.Section, e outline.Entry) int {
	n, err := strconv.Atoi(e.Value)
	if err != nil || n < 0 || n > maxCount {
		p.addFinding(s, e, "%q is not an integer from 0 to %d", e.Value, maxCount)
	}
	return n
}

func (p *parser) weight(s outline.Section, e outline.Entry) float64 {
	w, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || !(w >= minWeight && w <= maxWeight) {
		p.addFinding(s, e, "%q is not a number from %g to %d", e.Value, minWeight, maxWeight)
	}
	return w
}

func (p *parser) timestamp(s outline.Section, e outline.Entry) time.Time {
	t, err := time.Parse(time.RFC3339, e.Value)
	if err != nil {
		p.addFinding(s, e, "%q is not an RFC 3339 time such as 2027-01-31T02:00:00Z", e.Value)
	}
	return t
}
