// Command document parses a configuration document that contains errors.
//
//	go run ./examples/document
package main

import (
	"fmt"

	"rosemarywalk/core/document"
)

const text = `[guild]
services = valuation, provenance
quota = 400

[labs]
services = valuation
weight = heavy
active = 2027-01-31
`

func main() {
	sections, findings := document.Parse("teams.ini", []byte(text))
	fmt.Println(len(sections), "sections")
	// Parse returns all findings at once, each with its position.
	for _, f := range findings {
		fmt.Println(f)
	}
}
