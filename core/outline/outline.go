package outline

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"rosemarywalk/core/finding"
)

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value string
	Line  int // from 1
}

// Section is one section with its keys, in the order of the text.
type Section struct {
	Name    string
	Line    int // from 1
	Entries []Entry
}

// Find returns the entry of a key.
func (s Section) Find(key string) (Entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// Parse reads INI text and returns its sections, or findings with their lines.
func Parse(file string, raw []byte) ([]Section, finding.List) {
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SpaceBeforeInlineComment:   true,
	}
	index := scan(raw)
	if faults := index.faults(file); len(faults) > 0 {
		return nil, faults
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

// place is where a key stands; section "" is the part before any section.
type place struct {
	section string
	key     string
}

// lines is where each section and key first stands, and what is off.
type lines struct {
	first  map[place]int
	second []finding.Finding
}

// scan finds lines only; the library decides on values.
func scan(raw []byte) lines {
	l := lines{first: map[place]int{}}
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(raw))
	scanner.Buffer(nil, len(raw)+1)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = strings.TrimSpace(strings.Trim(strings.SplitAfter(text, "]")[0], "[]"))
			l.note(place{section: section}, n, "section stands twice")
		default:
			key, _, ok := strings.Cut(text, "=")
			if !ok {
				l.second = append(l.second, finding.Finding{
					Line:    n,
					Section: section,
					Text:    "line is neither a section nor key = value",
				})
				continue
			}
			l.note(place{
				section: section,
				key:     strings.TrimSpace(key),
			}, n, "key stands twice")
		}
	}
	return l
}

func (l *lines) note(p place, line int, twice string) {
	if _, known := l.first[p]; known {
		l.second = append(l.second, finding.Finding{
			Line:    line,
			Section: p.section,
			Key:     p.key,
			Text:    twice,
		})
		return
	}
	l.first[p] = line
}

func (l *lines) faults(file string) finding.List {
	list := make(finding.List, 0, len(l.second))
	for _, f := range l.second {
		f.File = file
		list = append(list, f)
	}
	return list
}

func (l *lines) section(s *ini.Section) Section {
	name := s.Name()
	if name == ini.DefaultSection {
		name = ""
	}
	section := Section{
		Name: name,
		Line: l.first[place{section: name}],
	}
	for _, k := range s.Keys() {
		section.Entries = append(section.Entries, Entry{
			Key:   k.Name(),
			Value: k.String(),
			Line: l.first[place{
				section: name,
				key:     k.Name(),
			}],
		})
	}
	return section
}
