package bed

import (
	"regexp"
	"strings"
)

// render fills in the template of a host's settings with values by their dotted names. A
// section whose value is missing or empty is left out.
func render(template string, values map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	text := section.ReplaceAllStringFunc(template, func(part string) string {
		match := section.FindStringSubmatch(part)
		if values[match[1]] == "" {
			return ""
		}
		return match[2]
	})
	placeholder := regexp.MustCompile(`\{\{([\w.]+)\}\}`)
	return placeholder.ReplaceAllStringFunc(text, func(part string) string {
		return values[strings.Trim(part, "{}")]
	})
}
