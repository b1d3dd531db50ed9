package finding

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of an input and where it stands.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // from 1; 0 when the fault is something missing
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
}

// String returns file:line: [section] key: text, without the empty parts.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// List is all findings of one input; an empty List is no error.
type List []Finding

// Error returns one finding a line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sorted returns the findings in the order of their lines.
func (l List) Sorted() List {
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return a.Line - b.Line })
	return sorted
}
