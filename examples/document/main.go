// Command document checks a configuration document with faults in it.
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
	// All findings come at once, each with its place.
	for _, f := range findings {
		fmt.Println(f)
	}
}
