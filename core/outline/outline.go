package outline

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"rosemarywalk/core/finding"
)

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value string
	Line  int // 1-based
}

// Section is a section with its entries in the order of the text.
type Section struct {
	Name    string
	Line    int // 1-based
	Entries []Entry
}

// Find returns the entry with the given key.
func (s Section) Find(key string) (Entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// Parse parses INI text. It returns either the sections or the syntax errors found.
func Parse(file string, raw []byte) ([]Section, finding.List) {
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SpaceBeforeInlineComment:   true,
	}
	index := scan(raw)
	if findings := index.findingsIn(file); len(findings) > 0 {
		return nil, findings
	}
	parsed, err := ini.LoadSources(options, raw)
	if err != nil {
		return nil, finding.List{{
			File: file,
			Text: err.Error(),
		}}
	}
	var sections []Section
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		sections = append(sections, index.section(s))
	}
	return sections, nil
}

// position identifies a key, or a section if the key is empty. Section "" holds the
// keys before the first section header.
type position struct {
	section string
	key     string
}

// lineIndex holds the first line of each section and key, and the syntax errors.
type lineIndex struct {
	firstLine map[position]int
	findings  []finding.Finding
}

// scan only finds line numbers and duplicates, which the INI library does not report;
// values come from the library.
func scan(raw []byte) lineIndex {
	l := lineIndex{firstLine: map[position]int{}}
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	scanner.Buffer(nil, len(raw)+1)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = strings.TrimSpace(strings.Trim(strings.SplitAfter(text, "]")[0], "[]"))
			l.record(position{section: section}, n, "duplicate section")
		default:
			key, _, ok := strings.Cut(text, "=")
			if !ok {
				l.findings = append(l.findings, finding.Finding{
					Line:    n,
					Section: section,
					Text:    "line is neither a [section] header nor key = value",
				})
				continue
			}
			l.record(position{
				section: section,
				key:     strings.TrimSpace(key),
			}, n, "duplicate key")
		}
	}
	return l
}

func (l *lineIndex) record(p position, line int, duplicate string) {
	if _, known := l.firstLine[p]; known {
		l.findings = append(l.findings, finding.Finding{
			Line:    line,
			Section: p.section,
			Key:     p.key,
			Text:    duplicate,
		})
		return
	}
	l.firstLine[p] = line
}

func (l *lineIndex) findingsIn(file string) finding.List {
	list := make(finding.List, 0, len(l.findings))
	for _, f := range l.findings {
		f.File = file
		list = append(list, f)
	}
	return list
}

func (l *lineIndex) section(s *ini.Section) Section {
	name := s.Name()
	if name == ini.DefaultSection {
		name = ""
	}
	section := Section{
		Name: name,
		Line: l.firstLine[position{section: name}],
	}
	for _, k := range s.Keys() {
		section.Entries = append(section.Entries, Entry{
			Key:   k.Name(),
			Value: k.String(),
			Line: l.firstLine[position{
				section: name,
				key:     k.Name(),
			}],
		})
	}
	return section
}
