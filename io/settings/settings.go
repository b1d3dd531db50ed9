package settings

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"rosemarywalk/core/finding"
	"rosemarywalk/core/outline"
)

// Key is one setting of a section.
type Key struct {
	Name     string
	Default  string
	Help     string
	Required bool // must be set in the file even though it has a default
	Kind     Kind
}

// Section is the settings section of one plug-in.
type Section struct {
	Name string
	Help string
	Keys []Key
}

// keyPath identifies a key by its section and its own name.
type keyPath struct {
	section string
	key     string
}

// Settings holds the validated values of a process. It is immutable.
type Settings struct{ values map[keyPath]string }

// Parse parses the contents of a settings file and validates them against a schema.
// Its error lists all findings.
func Parse(file string, raw []byte, schema []Section) (Settings, error) {
	sections, findings := outline.Parse(file, raw)
	if len(findings) > 0 {
		return Settings{}, findings.Err()
	}
	s := Defaults(schema)
	given := map[keyPath]bool{}
	for _, section := range sections {
		findings = append(findings, s.apply(file, section, schema, given)...)
	}
	findings = append(findings, missing(file, schema, given)...)
	return s, findings.Sorted().Err()
}

// Defaults returns settings in which every key has its default.
func Defaults(schema []Section) Settings {
	s := Settings{values: map[keyPath]string{}}
	for _, section := range schema {
		for _, key := range section.Keys {
			s.values[keyPath{
				section: section.Name,
				key:     key.Name,
			}] = key.Default
		}
	}
	return s
}

func (s Settings) apply(file string, section outline.Section, schema []Section, given map[keyPath]bool) finding.List {
	known, ok := lookup(schema, section.Name)
	if !ok {
		return finding.List{{
			File:    file,
			Line:    section.Line,
			Section: section.Name,
			Text:    "unknown section",
		}}
	}
	var findings finding.List
	for _, e := range section.Entries {
		at := finding.Finding{
			File:    file,
			Line:    e.Line,
			Section: section.Name,
			Key:     e.Key,
		}
		key, ok := known.lookup(e.Key)
		if !ok {
			at.Text = "unknown key"
			findings = append(findings, at)
			continue
		}
		if err := validate(key.Kind, e.Value); err != nil {
			at.Text = err.Error()
			findings = append(findings, at)
			continue
		}
		n := keyPath{
			section: section.Name,
			key:     e.Key,
		}
		s.values[n] = e.Value
		given[n] = true
	}
	return findings
}

func missing(file string, schema []Section, given map[keyPath]bool) finding.List {
	var findings finding.List
	for _, section := range schema {
		for _, key := range section.Keys {
			n := keyPath{
				section: section.Name,
				key:     key.Name,
			}
			if key.Required && !given[n] {
				findings = append(findings, finding.Finding{
					File:    file,
					Section: section.Name,
					Key:     key.Name,
					Text:    "required key is missing or invalid: " + key.Help,
				})
			}
		}
	}
	return findings
}

func lookup(schema []Section, section string) (Section, bool) {
	for _, s := range schema {
		if s.Name == section {
			return s, true
		}
	}
	return Section{}, false
}

func (s Section) lookup(key string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == key {
			return k, true
		}
	}
	return Key{}, false
}

// With returns a copy with one value changed. The value is not validated.
func (s Settings) With(section, key, value string) Settings {
	values := maps.Clone(s.values)
	values[keyPath{
		section: section,
		key:     key,
	}] = value
	return Settings{values: values}
}

// Text returns a value as written in the file.
func (s Settings) Text(section, key string) string {
	return s.values[keyPath{
		section: section,
		key:     key,
	}]
}

// Duration returns a value of kind Duration.
func (s Settings) Duration(section, key string) time.Duration {
	d, _ := time.ParseDuration(s.Text(section, key))
	return d
}

// Integer returns a value of kind Integer.
func (s Settings) Integer(section, key string) int {
	n, _ := strconv.Atoi(s.Text(section, key))
	return n
}

// Number returns a value of kind Number.
func (s Settings) Number(section, key string) float64 {
	x, _ := strconv.ParseFloat(s.Text(section, key), 64)
	return x
}

// List returns a value of kind Addresses.
func (s Settings) List(section, key string) []string { return splitList(s.Text(section, key)) }

// AnnotatedDefaults returns a settings file that sets every key to its default, with the help
// texts as comments.
func AnnotatedDefaults(schema []Section) string {
	var b strings.Builder
	for _, section := range schema {
		fmt.Fprintf(&b, "# %s\n[%s]\n", section.Help, section.Name)
		for _, key := range section.Keys {
			fmt.Fprintf(&b, "# %s%s\n%s = %s\n", key.Help, key.constraints(), key.Name, key.Default)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (k Key) constraints() string {
	constraints := ""
	switch kind := k.Kind.(type) {
	case Duration:
		constraints = fmt.Sprintf(" (%s to %s)", kind.Min, kind.Max)
	case Integer:
		constraints = fmt.Sprintf(" (%d to %d)", kind.Min, kind.Max)
	case Number:
		constraints = fmt.Sprintf(" (%g to %g)", kind.Min, kind.Max)
	case Choice:
		constraints = fmt.Sprintf(" (one of %s)", strings.Join(kind.Of, ", "))
	case Text, Address, Addresses, URL:
	}
	if k.Required {
		constraints += " (required)"
	}
	return constraints
}
