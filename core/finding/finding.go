package finding

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one validation error and its position in the input.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 if no line applies, as for a missing entry
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
}

// String formats the finding as "file:line: [section] key: text" and omits empty parts.
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

// List holds all findings of one input. Use Err to get a nil error for an empty list.
type List []Finding

// Error returns the findings, one per line.
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

// Sorted returns a copy of the list sorted by line; equal lines keep their order.
func (l List) Sorted() List {
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return a.Line - b.Line })
	return sorted
}
